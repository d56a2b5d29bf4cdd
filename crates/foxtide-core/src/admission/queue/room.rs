//! Which requests the upstream has room for beside those that hold a slot.

use super::running::Running;
use super::waiting::Waiting;
use super::{
    SlotQueue,
    UPSTREAM_BACKLOG, //
};
use crate::admission::request::SlotRequest;
use crate::admission::reserve::Work;
use crate::admission::service_times::ObjectAccess;
use crate::time::MonotonicTime;

impl SlotQueue {
    /// Returns the number of slots that are reserved against the longest of its kinds.
    pub(in crate::admission) fn reserved_slots(&self, now: MonotonicTime) -> usize {
        self.reserve.largest(self.slots, &self.times, now)
    }

    /// Returns the number of slots that are reserved against work; `None` if it may use all slots
    /// and the place beyond them.
    pub(super) fn reserved_against(&self, work: Work, now: MonotonicTime) -> Option<usize> {
        self.reserve.against(work, self.slots, &self.times, now)
    }

    /// Returns the number of slots that work may use.
    pub(super) fn usable_slots(&self, work: Work, now: MonotonicTime) -> usize {
        self.slots - self.reserved_against(work, now).unwrap_or(0)
    }

    /// Returns whether work may begin. Work against which slots are reserved never waits at the
    /// upstream, and leaves the reserved slots to all other work.
    pub(super) fn has_room(&self, work: Work, now: MonotonicTime) -> bool {
        let Some(reserved) = self.reserved_against(work, now) else {
            return self.running.len() < self.slots + UPSTREAM_BACKLOG;
        };
        let restricted = self
            .running
            .iter()
            .filter(|one| self.is_restricted(one, now));
        self.running.len() < self.slots && restricted.count() + reserved < self.slots
    }

    /// Returns whether a request that does not wait may have a slot.
    ///
    /// A first access takes longer here than at the upstream that cached the object. It
    /// gets an idle slot only, so that objects do not spread to other upstreams that are
    /// equally busy. Beside an organisation that floods no slot is idle; the place beyond the
    /// slots, which that organisation does not get, stands for one.
    pub(super) fn has_immediate_room(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        let used = self.shares.used(now);
        let mut running = self.running.iter();
        let is_flooded = running.any(|one| used.is_excessive(one.charge.organisation));
        let limit = match self.access(request.object) {
            ObjectAccess::First if !is_flooded => self.slots,
            ObjectAccess::First | ObjectAccess::Repeated => self.slots + UPSTREAM_BACKLOG,
        };
        self.running.len() < limit && self.has_room(self.work_of_request(request), now)
    }

    /// Returns whether slots are reserved against a running request.
    pub(super) fn is_restricted(&self, running: &Running, now: MonotonicTime) -> bool {
        let service = self.expected_service(running.kind, running.access);
        let work = Work {
            priority: running.priority,
            service: service.unwrap_or_default(),
        };
        self.reserved_against(work, now).is_some()
    }

    pub(super) fn work_of(&self, waiting: &Waiting) -> Work {
        let service = self.expected_service(waiting.kind, self.access(waiting.object));
        Work {
            priority: waiting.priority,
            service: service.unwrap_or_default(),
        }
    }

    pub(super) fn work_of_request(&self, request: &SlotRequest) -> Work {
        let service = self.expected_service(request.kind, self.access(request.object));
        Work {
            priority: request.priority,
            service: service.unwrap_or_default(),
        }
    }
}
