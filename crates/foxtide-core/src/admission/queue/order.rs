//! The order in which waiting requests get slots.

use super::SlotQueue;
use super::waiting::{
    ServiceClass,
    ServiceOrder,
    Waiting, //
};
use crate::admission::fair_share::UsedTimes;
use crate::admission::service_times::ObjectAccess;
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::time::Duration;

impl SlotQueue {
    /// Returns the index of the request to serve next, among those that there is room for. An
    /// organisation that used clearly more than its fair share does not get the place beyond the
    /// slots.
    pub(super) fn next_waiting(&self, now: MonotonicTime) -> Option<usize> {
        if self.waiting.is_empty() {
            return None;
        }
        let used = self.shares.used(now);
        let has_free_slot = self.running.len() < self.slots;
        let is_admissible = |waiting: &Waiting| {
            (has_free_slot || !used.is_excessive(waiting.organisation))
                && self.has_room(self.work_of(waiting), now)
        };
        let admissible =
            (0..self.waiting.len()).filter(|&index| is_admissible(&self.waiting[index]));
        admissible.min_by_key(|&index| self.service_order(&self.waiting[index], &used, now))
    }

    /// Returns the place of a waiting request in the order of service: by priority, then class,
    /// then fair share, then newest first.
    pub(super) fn service_order(
        &self,
        waiting: &Waiting,
        used: &UsedTimes<'_>,
        now: MonotonicTime,
    ) -> ServiceOrder {
        ServiceOrder {
            priority: waiting.priority,
            class: self.class_of(waiting, now),
            used: used.of(waiting.organisation),
            age: Reverse(waiting.queued_at),
        }
    }

    fn class_of(&self, waiting: &Waiting, now: MonotonicTime) -> ServiceClass {
        let access = self.access(waiting.object);
        let service = self.expected_service(waiting.kind, access);
        if now + service.unwrap_or_default() <= waiting.objective_at {
            ServiceClass::InTime
        } else if access == ObjectAccess::First {
            ServiceClass::LateFirstAccess
        } else {
            ServiceClass::Late
        }
    }

    /// Returns the largest difference of used service time between two waiting organisations.
    pub(in crate::admission) fn fair_share_debt(&self, now: MonotonicTime) -> Duration {
        let organisations = self.waiting.iter().map(|waiting| waiting.organisation);
        self.shares.used(now).spread(organisations)
    }
}
