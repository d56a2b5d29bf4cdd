//! The slots of one upstream and the requests that wait for them.

mod forecast;
mod order;
mod retry_after;
mod room;
mod running;
mod schedule;
mod waiting;

use super::fair_share::{
    Charge,
    FairShare,
    OrganisationKey, //
};
use super::objects::RecentObjects;
use super::request::{
    Answer,
    EndReport,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use super::reserve::Reserve;
use super::service_times::{
    ObjectAccess,
    ServiceTimes, //
};
use super::slowness::RecentSlowness;
use crate::placement::ObjectKey;
use crate::registry::SLOTS_MAX;
use crate::routing::RequestKind;
use crate::throttle::Throttle;
use crate::time::MonotonicTime;
use running::{
    Running,
    RunningRequests, //
};
use std::time::Duration;
use waiting::Waiting;

/// The number of requests admitted beyond the slots. They queue at the upstream and keep its slots
/// busy while a release and the next grant are in transit. One beats none most where work is short;
/// two are worse where work is long.
const UPSTREAM_BACKLOG: usize = 1;

/// The multiple of the expected service time after which an unreleased grant expires. Service times
/// vary by some 15 %. A slot whose release is lost stays taken until then; the deadline of the
/// request in place of this costs busy days up to a hundredth of their worth.
const GRANT_TIMEOUT_FACTOR: u32 = 4;

/// The answer to a request that does not wait and gets no slot.
const BUSY: Answer = Answer::Busy { served_in: None };

/// The slots and waiting requests of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    slots: usize,
    running: RunningRequests,
    waiting: Vec<Waiting>,
    objects: RecentObjects,
    times: ServiceTimes,
    /// The times of accesses that are certain to be first or repeated ones.
    certain_times: ServiceTimes,
    slowness: RecentSlowness,
    throttle: Throttle,
    reserve: Reserve,
    shares: FairShare,
}

impl SlotQueue {
    /// Sets the number of requests that the upstream serves concurrently. A forecast keeps a time for
    /// each, so a number beyond [`SLOTS_MAX`], from the network, does not count.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.clamp(1, SLOTS_MAX) as usize;
    }

    /// Returns whether the upstream limits its rate.
    pub(super) fn is_limited(&self) -> bool {
        self.throttle.is_limited()
    }

    /// Records whether this instance coordinates the upstream, and since when at the earliest.
    pub(super) fn set_coordinating(&mut self, since: Option<MonotonicTime>, now: MonotonicTime) {
        self.throttle.set_coordinating(since, now);
    }

    /// Returns whether a request waits or holds a slot.
    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        let is_waiting = self.waiting.iter().any(|waiting| waiting.ticket == ticket);
        is_waiting || self.running.contains(ticket)
    }

    /// Asks for a slot. Appends the answer to `answers`, with the answers to other requests
    /// whose state changes.
    pub(super) fn ask(
        &mut self,
        request: &SlotRequest,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        self.slowness.advance(now);
        let ticket = request.ticket;
        if self.running.contains(ticket) {
            answers.push((ticket, Answer::Granted));
            return;
        }
        if let Some(report) = request.limit {
            self.throttle.apply(report, now);
        }
        let is_waiting = self.waiting.iter().any(|one| one.ticket == ticket);
        if let Some(answer) = self.throttled(request, is_waiting, now) {
            self.waiting.retain(|one| one.ticket != ticket);
            answers.push((ticket, answer));
            return;
        }
        self.drop_expired_grants(now);
        self.shares
            .record_ask(OrganisationKey::of(request), request.organisation_rate, now);
        let has_room = match request.patience {
            Patience::NoWait => self.has_immediate_room(request, now),
            Patience::NoWaitInTime => {
                self.has_immediate_room(request, now) && self.is_immediately_in_time(request, now)
            }
            Patience::WithinObjective | Patience::UntilDeadline => true,
        };
        if !has_room {
            answers.push((ticket, BUSY));
            return;
        }
        self.queue(request, now);
        self.grant_free_slots(now, answers);
        let is_dismissed = self.dismiss_busy(ticket, now, answers);
        if !is_waiting && !is_dismissed {
            self.record_demand(request, now);
        }
        self.reject_hopeless(now, answers);
        if self.waiting.iter().any(|one| one.ticket == ticket) {
            answers.push((ticket, Answer::Waiting));
        }
    }

    /// Queues a request, or updates one that waits already.
    fn queue(&mut self, request: &SlotRequest, now: MonotonicTime) {
        let mut waiting = self.waiting.iter_mut();
        match waiting.find(|one| one.ticket == request.ticket) {
            Some(waiting) => waiting.update(request, now),
            None => self.waiting.push(Waiting::new(request, now)),
        }
    }

    /// Returns the answer to a request that the upstream's rate limit excludes. A waiting
    /// request keeps its place, as new ones that are not more urgent leave it a token.
    fn throttled(
        &mut self,
        request: &SlotRequest,
        is_waiting: bool,
        now: MonotonicTime,
    ) -> Option<Answer> {
        if !self.throttle.is_limited() {
            return None;
        }
        if !self.throttle.is_coordinating() {
            return Some(Answer::NotCoordinator);
        }
        let waiting = self.waiting.iter();
        let ahead = waiting.filter(|one| one.priority <= request.priority);
        let retry_after = self.throttle.next_token_in(ahead.count(), now);
        let is_exhausted = !is_waiting && !retry_after.is_zero();
        is_exhausted.then_some(Answer::Throttled { retry_after })
    }

    /// Counts a request as demand of its kind at this upstream. One that is busy here is served
    /// elsewhere or asks again.
    fn record_demand(&mut self, request: &SlotRequest, now: MonotonicTime) {
        let work = self.work_of_request(request);
        self.reserve
            .record(request.kind, work, request.objective_left, now);
    }

    /// Dismisses a waiting request whose wait would exceed its patience; returns whether it did.
    fn dismiss_busy(
        &mut self,
        ticket: Ticket,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) -> bool {
        let mut waiting = self.waiting.iter();
        let Some(index) = waiting.position(|one| one.ticket == ticket) else {
            return false;
        };
        let waiting = &self.waiting[index];
        let answer = match waiting.patience {
            Patience::NoWait | Patience::NoWaitInTime => BUSY,
            Patience::UntilDeadline => return false,
            Patience::WithinObjective => {
                let served_at = self.served_at(waiting, now);
                if served_at <= waiting.wait_until {
                    return false;
                }
                let is_known = self.is_service_known(waiting);
                let served_in = is_known.then(|| served_at.since(now));
                Answer::Busy { served_in }
            }
        };
        self.waiting.remove(index);
        answers.push((ticket, answer));
        true
    }

    /// Counts a request that is sent without a grant.
    pub(super) fn record_ungranted(&mut self, request: &SlotRequest, now: MonotonicTime) {
        self.waiting.retain(|one| one.ticket != request.ticket);
        if let Some(report) = request.limit {
            self.throttle.apply(report, now);
        }
        self.throttle.take(now);
        self.record_demand(request, now);
        let access = self.access(request.object);
        let running = Running {
            ticket: request.ticket,
            kind: request.kind,
            priority: request.priority,
            object: request.object,
            access,
            depth: request.object.and_then(|object| self.objects.depth(object)),
            granted_at: now,
            begun_at: None,
            expires_at: now + request.time_left,
            is_measured: false,
            charge: self.charge(OrganisationKey::of(request), request.kind, access),
        };
        self.begin(running, now);
    }

    /// Releases the slot of a request that ended or whose requester no longer waits.
    pub(super) fn end(
        &mut self,
        ticket: Ticket,
        end: EndReport,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        self.slowness.advance(now);
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        // An unknown ticket may be of an earlier incarnation, whose figure says nothing here.
        if let Some(running) = self.running.remove(ticket, self.slots, now) {
            self.slowness.record(end.slowness, now);
            self.shares
                .settle(running.charge, running.served_for(now), now);
            self.record_completion(running, end.ending, now);
        }
        self.dispatch(now, answers);
    }

    fn record_completion(&mut self, running: Running, ending: Ending, now: MonotonicTime) {
        match ending {
            Ending::Served if running.is_measured => {
                let service = running.served_for(now);
                let usual_time = self.slowness.usual_time(now.saturating_sub(service), now);
                let access = self.observe_access(&running, usual_time);
                self.times.record(running.kind, access, usual_time);
            }
            Ending::NotServed if running.access == ObjectAccess::First => {
                if let Some(object) = running.object {
                    self.objects.remove(object);
                }
            }
            Ending::Served | Ending::NotServed => {}
        }
    }

    /// Learns from a service time how many objects the upstream keeps; returns whether it had the
    /// request's object, as far as the time tells.
    ///
    /// The times that first and repeated accesses are told apart by are those of accesses that are
    /// certain to be the one or the other.
    fn observe_access(&mut self, running: &Running, service: Duration) -> ObjectAccess {
        let kind = running.kind;
        if let Some(access) = RecentObjects::certain_access(running.depth) {
            self.certain_times.record(kind, access, service);
            return access;
        }
        let mean = |access| self.certain_times.measured(kind, access);
        let means = (mean(ObjectAccess::First), mean(ObjectAccess::Repeated));
        let (Some(depth), (Some(first), Some(repeated))) = (running.depth, means) else {
            return running.access;
        };
        let observed = self.objects.learn(depth, service, first, repeated);
        observed.unwrap_or(running.access)
    }

    fn drop_expired_grants(&mut self, now: MonotonicTime) {
        self.running.drop_expired(self.slots, now);
    }

    /// Grants free slots and rejects waiting requests that can no longer meet their
    /// deadline.
    fn dispatch(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        self.drop_expired_grants(now);
        self.grant_free_slots(now, answers);
        self.reject_hopeless(now, answers);
    }

    fn grant_free_slots(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        while self.running.len() < self.slots + UPSTREAM_BACKLOG
            && self.throttle.next_token_in(0, now).is_zero()
        {
            let Some(index) = self.next_waiting(now) else {
                break;
            };
            let next = self.waiting.remove(index);
            answers.push((next.ticket, Answer::Granted));
            self.grant(&next, now);
        }
    }

    fn grant(&mut self, waiting: &Waiting, now: MonotonicTime) {
        self.throttle.take(now);
        let access = self.access(waiting.object);
        let expires_at = match self.times.expected(waiting.kind, access) {
            // A figure below the usual one may end before the request does.
            Some(time) => {
                let time = time.mul_f64(self.slowness.factor().max(1.0));
                (now + time * GRANT_TIMEOUT_FACTOR).min(waiting.deadline)
            }
            None => waiting.deadline,
        };
        let running = Running {
            ticket: waiting.ticket,
            kind: waiting.kind,
            priority: waiting.priority,
            object: waiting.object,
            access,
            depth: waiting.object.and_then(|object| self.objects.depth(object)),
            granted_at: now,
            begun_at: None,
            expires_at,
            is_measured: true,
            charge: self.charge(waiting.organisation, waiting.kind, access),
        };
        self.begin(running, now);
    }

    /// Counts a request as started; its object is cached at the upstream from then on.
    fn begin(&mut self, running: Running, now: MonotonicTime) {
        if let Some(object) = running.object {
            self.objects.insert(object);
        }
        self.shares.charge(running.charge, now);
        self.running.insert(running, self.slots, now);
    }

    fn charge(
        &self,
        organisation: OrganisationKey,
        kind: RequestKind,
        access: ObjectAccess,
    ) -> Charge {
        Charge {
            organisation,
            expected: self.expected_service(kind, access).unwrap_or_default(),
        }
    }

    fn access(&self, object: Option<ObjectKey>) -> ObjectAccess {
        match object {
            Some(object) if self.objects.contains(object) => ObjectAccess::Repeated,
            _ => ObjectAccess::First,
        }
    }

    fn is_service_known(&self, waiting: &Waiting) -> bool {
        let access = self.access(waiting.object);
        self.expected_service(waiting.kind, access).is_some()
    }

    /// Returns the expected service time of a request at the upstream's present speed, if any is
    /// known.
    fn expected_service(&self, kind: RequestKind, access: ObjectAccess) -> Option<Duration> {
        let usual_time = self.times.expected(kind, access)?;
        Some(usual_time.mul_f64(self.slowness.factor()))
    }
}
