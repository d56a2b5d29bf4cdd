//! The decisions on a request, for its log line.

use super::{
    SecondChoice,
    Step, //
};
use crate::admission::SlotAnswer;
use crate::state::Pick;
use crate::upstream_connection::ConnectionUse;
use foxtide_core::execution::SendLog;
use foxtide_core::placement::Slowness;
use std::time::Duration;

/// What was decided on a request, logged with its reply.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTrace {
    /// The request's identity.
    pub(crate) request: String,
    /// The route's name.
    pub(crate) route: String,
    /// Whether the route's requests may run more than once.
    pub(crate) is_idempotent: bool,
    pub(crate) latency_objective: Duration,
    /// The caller's organisation; empty if unknown.
    pub(crate) organisation: String,
    pub(crate) service: String,
    /// The key of the request's object; empty if it has none.
    pub(crate) object: String,
    /// The fingerprint of its content; empty if it was not computed.
    pub(crate) fingerprint: String,
    /// The upstream of the last attempt.
    pub(crate) upstream: String,
    /// The region of that upstream.
    pub(crate) region: String,
    pub(crate) attempts: u32,
    /// Its sends to upstreams and to other instances.
    pub(crate) sends: SendLog,
    /// The connection of the last attempt.
    pub(crate) connection: ConnectionUse,
    /// The instance to which the request was passed on last; empty for none.
    pub(crate) passed_to: String,
    /// Whether another instance has passed it on to this one.
    pub(crate) is_taken_over: bool,
    /// The upstream's place in the object's order.
    pub(crate) rank: usize,
    /// The occupancy of the upstream as known to this instance.
    pub(crate) occupancy: u32,
    /// The slowness that the upstream of the last attempt reported.
    pub(crate) slowness: Option<Slowness>,
    /// The version of the configuration in force.
    pub(crate) version: u64,
    /// The time since the store, or a peer in its place, last answered.
    pub(crate) knowledge_age_ms: u64,
    /// The coordinator's answer for the last attempt.
    pub(crate) slot: SlotAnswer,
    /// Whether the object's second choice was used.
    pub(crate) second_choice: SecondChoice,
    /// The instance that coordinates the upstream's slots.
    pub(crate) coordinator: String,
    /// What it waits for now.
    pub(crate) step: Step,
    /// How long it waited for slots.
    pub(crate) slot_wait: Duration,
    /// Why the request failed; empty if it did not.
    pub(crate) reason: &'static str,
}

impl RequestTrace {
    /// Returns the trace of a new request; `reason` is empty unless it is refused already.
    pub(crate) fn new(request: &str, reason: &'static str) -> Self {
        Self {
            request: request.to_owned(),
            reason,
            ..Self::default()
        }
    }

    /// Records an attempt.
    pub(crate) fn record_attempt(&mut self, pick: &Pick) {
        self.attempts += 1;
        self.upstream = pick.registration.upstream.to_string();
        self.region = pick.registration.region.to_string();
        self.rank = pick.rank;
        self.occupancy = pick.occupancy;
    }
    /// Takes over how the slot of another attempt of the request was acquired.
    pub(crate) fn adopt_slot(&mut self, other: &Self) {
        self.slot = other.slot;
        self.slot_wait = other.slot_wait;
        self.coordinator.clone_from(&other.coordinator);
    }
}
