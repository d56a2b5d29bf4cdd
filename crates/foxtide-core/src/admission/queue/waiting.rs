//! Requests that wait for a slot, and the order in which they are served.

use crate::admission::fair_share::OrganisationKey;
use crate::admission::request::{
    Patience,
    SlotRequest,
    Ticket, //
};
use crate::placement::ObjectKey;
use crate::routing::RequestKind;
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::time::Duration;

/// The share of the latency objective within which a request must be expected to finish to wait at
/// its preferred upstream; otherwise it tries another one. The rest covers network latency, varying
/// service times and newer requests that are served first. Requests that wait for the whole
/// objective pile up in regions short of upstreams; when demand falls they are served there alone,
/// and the region's share of the traffic jumps.
pub(super) const OBJECTIVE_WAIT_SHARE: f64 = 0.5;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) kind: RequestKind,
    pub(super) organisation: OrganisationKey,
    pub(super) object: Option<ObjectKey>,
    pub(super) priority: u32,
    pub(super) queued_at: MonotonicTime,
    pub(super) objective_at: MonotonicTime,
    /// The latest expected completion at which it waits here rather than tries another
    /// upstream.
    pub(super) wait_until: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    pub(super) patience: Patience,
}

impl Waiting {
    /// Queues a request.
    pub(super) fn new(request: &SlotRequest, now: MonotonicTime) -> Self {
        Self {
            ticket: request.ticket,
            kind: request.kind,
            organisation: OrganisationKey::of(request),
            object: request.object,
            priority: request.priority,
            queued_at: now,
            objective_at: now + request.objective_left,
            wait_until: now + request.objective_left.mul_f64(OBJECTIVE_WAIT_SHARE),
            deadline: now + request.time_left,
            patience: request.patience,
        }
    }

    /// Updates what a repeated request may have changed: its patience, and its deadline where its
    /// instance stops before.
    pub(super) fn update(&mut self, request: &SlotRequest, now: MonotonicTime) {
        self.patience = request.patience;
        self.deadline = self.deadline.min(now + request.time_left);
    }
}

/// The order in which waiting requests of one priority are served, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ServiceClass {
    /// The answer is expected within the latency objective.
    InTime,
    /// The answer will be late, but later requests for the same object will be faster.
    LateFirstAccess,
    /// The answer will be late.
    Late,
}

/// The place of a waiting request in the order of service, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceOrder {
    pub(super) priority: u32,
    pub(super) class: ServiceClass,
    /// The service time that the organisation used, in relation to its weight.
    pub(super) used: Duration,
    /// The newest is served first, since it has the latest deadline.
    pub(super) age: Reverse<MonotonicTime>,
}

impl ServiceOrder {
    /// Returns whether a request of this order is served before another one, or could be if it
    /// was as new.
    pub(super) fn precedes(&self, other: &Self) -> bool {
        (self.priority, self.class, self.used) <= (other.priority, other.class, other.used)
    }
}
