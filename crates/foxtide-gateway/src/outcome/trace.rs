//! What decided a request's way, for its log line.

use super::SecondChoice;
use crate::admission::SlotAnswer;
use crate::state::Pick;
use std::time::Duration;

/// The inputs of the decisions on one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTrace {
    /// The request's identity.
    pub(crate) request: String,
    /// The route's name.
    pub(crate) route: String,
    /// Whether the route's requests may run more than once.
    pub(crate) is_idempotent: bool,
    /// How long the route's requests are to take at most.
    pub(crate) latency_objective: Duration,
    /// The organisation whose request it is; empty where that is not known.
    pub(crate) organisation: String,
    /// The service.
    pub(crate) service: String,
    /// The key of the request's object; empty where any upstream will do.
    pub(crate) object: String,
    /// The fingerprint of its content; empty where it was not looked at.
    pub(crate) fingerprint: String,
    /// The upstream of the last attempt.
    pub(crate) upstream: String,
    /// The region in which that upstream stands.
    pub(crate) region: String,
    /// The attempts so far.
    pub(crate) attempts: u32,
    /// The upstream's place in the object's order.
    pub(crate) rank: usize,
    /// What the upstream had to do, as far as was known.
    pub(crate) occupancy: u32,
    /// The version of the configuration in force.
    pub(crate) version: u64,
    /// How long ago the store, or a peer in its place, told what it says.
    pub(crate) knowledge_age_ms: u64,
    /// How its last attempt came to be sent.
    pub(crate) slot: SlotAnswer,
    /// What became of the object's second choice.
    pub(crate) second_choice: SecondChoice,
    /// The instance that coordinates the upstream's slots.
    pub(crate) coordinator: String,
    /// How long it waited for slots.
    pub(crate) slot_wait: Duration,
    /// Why the request failed, where it did.
    pub(crate) reason: &'static str,
}

impl RequestTrace {
    /// Returns what is known of a request at its beginning; `reason` where it is
    /// refused already, else empty.
    pub(crate) fn new(request: &str, reason: &'static str) -> Self {
        Self {
            request: request.to_owned(),
            reason,
            ..Self::default()
        }
    }

    /// Notes an attempt.
    pub(crate) fn record_attempt(&mut self, pick: &Pick) {
        self.attempts += 1;
        self.upstream = pick.registration.upstream.to_string();
        self.region = pick.registration.region.to_string();
        self.rank = pick.rank;
        self.occupancy = pick.occupancy;
    }
}
