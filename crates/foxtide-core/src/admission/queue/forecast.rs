//! When waiting requests are expected to be served, and which of them cannot be in time.

use super::SlotQueue;
use super::running::Running;
use super::schedule::Schedule;
use super::waiting::Waiting;
use crate::admission::request::{
    Answer,
    Patience,
    SlotRequest,
    Ticket, //
};
use crate::admission::service_times::ObjectAccess;
use crate::time::MonotonicTime;
use std::time::Duration;

impl SlotQueue {
    /// Rejects the waiting requests that are not expected to be served before their deadline
    /// because of those that are served first. One that waits for its objective only may try
    /// another upstream instead.
    pub(super) fn reject_hopeless(
        &mut self,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        if self.waiting.is_empty() {
            return;
        }
        let mut schedule = self.schedule(now);
        let used = self.shares.used(now);
        let mut in_order: Vec<&Waiting> = self.waiting.iter().collect();
        in_order.sort_by_cached_key(|waiting| self.service_order(waiting, &used, now));
        let mut dismissed = Vec::new();
        for waiting in in_order {
            let service = self.service_after(&schedule, waiting);
            let usable = self.usable_slots(self.work_of(waiting), now);
            if schedule.next_free(usable) + service <= waiting.deadline {
                schedule.place(waiting.object, service, usable);
                continue;
            }
            let answer = match waiting.patience {
                Patience::UntilDeadline => Answer::Rejected {
                    retry_after: self.retry_after(waiting, now),
                },
                _ => Answer::Busy { served_in: None },
            };
            dismissed.push((waiting.ticket, answer));
        }
        let is_dismissed =
            |one: &Waiting| dismissed.iter().any(|(ticket, _)| *ticket == one.ticket);
        self.waiting.retain(|one| !is_dismissed(one));
        answers.extend(dismissed);
    }

    /// Returns when a waiting request is expected to be served.
    ///
    /// Requests of its priority and class count as served before it, also older ones: newer
    /// requests will be served before it in their place.
    pub(super) fn served_at(&self, waiting: &Waiting, now: MonotonicTime) -> MonotonicTime {
        let used = self.shares.used(now);
        let order = self.service_order(waiting, &used, now);
        let schedule = self.schedule_of(now, |other| {
            other.ticket != waiting.ticket && self.service_order(other, &used, now).precedes(&order)
        });
        let usable = self.usable_slots(self.work_of(waiting), now);
        schedule.next_free(usable) + self.service_after(&schedule, waiting)
    }

    /// Returns whether a request that gets a slot now is expected to be served within its
    /// objective. One without known service times counts as in time.
    pub(super) fn is_immediately_in_time(&self, request: &SlotRequest, now: MonotonicTime) -> bool {
        let access = self.access(request.object);
        let service = self.expected_service(request.kind, access);
        let begins_at = self.schedule(now).next_free(self.slots);
        let served_at = begins_at + service.unwrap_or_default();
        served_at <= now + request.objective_left
    }

    /// Returns the expected service time of a waiting request once the schedule has begun.
    fn service_after(&self, schedule: &Schedule, waiting: &Waiting) -> Duration {
        let access = if schedule.accesses(waiting.object) {
            ObjectAccess::Repeated
        } else {
            self.access(waiting.object)
        };
        self.expected_service(waiting.kind, access)
            .unwrap_or_default()
    }

    /// Returns the schedule of the running requests and of those waiting ones that are served
    /// before a request.
    pub(super) fn schedule_of(
        &self,
        now: MonotonicTime,
        is_before: impl Fn(&Waiting) -> bool,
    ) -> Schedule {
        let mut schedule = self.schedule(now);
        for waiting in self.waiting.iter().filter(|waiting| is_before(waiting)) {
            let service = self.service_after(&schedule, waiting);
            let usable = self.usable_slots(self.work_of(waiting), now);
            schedule.place(waiting.object, service, usable);
        }
        schedule
    }

    /// Returns the schedule of what is left of the running requests. Those that may not use the
    /// reserved slots come first, since these are the last slots.
    fn schedule(&self, now: MonotonicTime) -> Schedule {
        let mut schedule = Schedule::new(self.slots, now);
        let mut running: Vec<&Running> = self.running.iter().collect();
        running.sort_by_key(|one| (one.begun_at.is_none(), !self.is_restricted(one, now)));
        for running in running {
            let service = self.expected_service(running.kind, running.access);
            let left = running.left_of(service.unwrap_or_default(), now);
            schedule.place(None, left, self.slots);
        }
        schedule
    }
}
