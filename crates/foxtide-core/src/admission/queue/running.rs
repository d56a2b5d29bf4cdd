//! Requests that hold a slot.

use crate::admission::fair_share::Charge;
use crate::admission::objects::Depth;
use crate::admission::request::Ticket;
use crate::admission::service_times::ObjectAccess;
use crate::placement::ObjectKey;
use crate::routing::RequestKind;
use crate::time::MonotonicTime;
use std::time::Duration;

/// A request that holds a slot, or the place beyond the slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Running {
    pub(super) ticket: Ticket,
    pub(super) kind: RequestKind,
    pub(super) priority: u32,
    pub(super) object: Option<ObjectKey>,
    pub(super) access: ObjectAccess,
    /// The depth at which its object was remembered.
    pub(super) depth: Option<Depth>,
    pub(super) granted_at: MonotonicTime,
    /// When the upstream began to serve it; `None` while it waits there for a slot.
    pub(super) begun_at: Option<MonotonicTime>,
    /// When the request stops counting if it is not released.
    pub(super) expires_at: MonotonicTime,
    /// Whether its duration is a service time. A request sent without a grant may also wait
    /// at the upstream.
    pub(super) is_measured: bool,
    /// What its organisation was charged for it.
    pub(super) charge: Charge,
}

impl Running {
    /// Returns how long the upstream has served it.
    pub(super) fn served_for(&self, now: MonotonicTime) -> Duration {
        now.since(self.begun_at.unwrap_or(self.granted_at))
    }

    /// Returns what is left of a service time.
    pub(super) fn left_of(&self, service: Duration, now: MonotonicTime) -> Duration {
        let begun_at = self.begun_at.unwrap_or(now);
        (begun_at + service).since(now)
    }
}

/// The requests that hold a slot, in the order of their grants, in which the upstream serves them.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningRequests {
    requests: Vec<Running>,
}

impl RunningRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        self.requests.iter().any(|one| one.ticket == ticket)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Running> {
        self.requests.iter()
    }

    /// Adds a request, in place of one with the same ticket.
    pub(super) fn insert(&mut self, running: Running, slots: usize, now: MonotonicTime) {
        self.requests.retain(|one| one.ticket != running.ticket);
        self.requests.push(running);
        self.begin_next(slots, now);
    }

    /// Removes a request and returns it.
    pub(super) fn remove(
        &mut self,
        ticket: Ticket,
        slots: usize,
        now: MonotonicTime,
    ) -> Option<Running> {
        let mut requests = self.requests.iter();
        let index = requests.position(|one| one.ticket == ticket)?;
        let removed = self.requests.remove(index);
        self.begin_next(slots, now);
        Some(removed)
    }

    /// Removes the requests whose grant has expired.
    pub(super) fn drop_expired(&mut self, slots: usize, now: MonotonicTime) {
        self.requests.retain(|running| now < running.expires_at);
        self.begin_next(slots, now);
    }

    /// Records that the upstream serves as many requests as it has slots.
    fn begin_next(&mut self, slots: usize, now: MonotonicTime) {
        for running in self.requests.iter_mut().take(slots) {
            running.begun_at.get_or_insert(now);
        }
    }
}
