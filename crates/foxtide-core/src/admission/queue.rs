//! The slots of one upstream and the requests that wait for them.

use super::fair_share::{
    Charge,
    FairShare,
    OrganisationKey, //
};
use super::objects::RecentObjects;
use super::request::{
    Answer,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use super::service_times::{
    ObjectAccess,
    ServiceTimes, //
};
use crate::placement::ObjectKey;
use crate::throttle::Throttle;
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// The number of requests admitted beyond the slots. They queue at the upstream and keep its slots
/// busy while a release and the next grant are in transit. One beats none most where work is short;
/// two are worse where work is long.
const UPSTREAM_BACKLOG: usize = 1;

/// The multiple of the expected service time after which an unreleased grant expires. Service times
/// vary by some 15 %. A slot whose release is lost stays taken until then; the deadline of the
/// request in place of this costs busy days up to a hundredth of their worth.
const GRANT_TIMEOUT_FACTOR: u32 = 4;

/// Bounds of the retry delay in rejections.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);

/// The share of the latency objective within which a request must be expected to finish to wait at
/// its preferred upstream; otherwise it tries another one. The rest covers network latency, varying
/// service times and newer requests that are served first. Requests that wait for the whole
/// objective pile up in regions short of upstreams; when demand falls they are served there alone,
/// and the region's share of the traffic jumps.
const OBJECTIVE_WAIT_SHARE: f64 = 0.5;

/// A request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    object: Option<ObjectKey>,
    access: ObjectAccess,
    began_at: MonotonicTime,
    /// When the request stops counting if it is not released.
    expires_at: MonotonicTime,
    /// Whether its duration is a service time. A request sent without a grant may also wait
    /// at the upstream.
    is_measured: bool,
    charge: Charge,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    organisation: OrganisationKey,
    object: Option<ObjectKey>,
    priority: u32,
    queued_at: MonotonicTime,
    objective_at: MonotonicTime,
    /// The latest expected completion at which it waits here rather than tries another
    /// upstream.
    wait_until: MonotonicTime,
    deadline: MonotonicTime,
}

/// The order in which waiting requests of one priority are served, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceClass {
    /// The answer is expected within the latency objective.
    InTime,
    /// The answer will be late, but later requests for the same object will be faster.
    LateFirstAccess,
    /// The answer will be late.
    Late,
}

/// The slots and waiting requests of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    slots: usize,
    running: HashMap<Ticket, Running>,
    waiting: Vec<Waiting>,
    objects: RecentObjects,
    times: ServiceTimes,
    throttle: Throttle,
    shares: FairShare,
}

impl SlotQueue {
    /// Sets the number of requests that the upstream serves concurrently.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1) as usize;
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
        is_waiting || self.running.contains_key(&ticket)
    }

    /// Asks for a slot. Appends the answer to `answers`, with the answers to other requests
    /// whose state changes.
    pub(super) fn ask(
        &mut self,
        request: &SlotRequest,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        let ticket = request.ticket;
        if self.running.contains_key(&ticket) {
            answers.push((ticket, Answer::Granted));
            return;
        }
        if let Some(report) = request.limit {
            self.throttle.apply(report, now);
        }
        let is_waiting = self.waiting.iter().any(|one| one.ticket == ticket);
        if let Some(answer) = self.throttled(is_waiting, now) {
            self.waiting.retain(|one| one.ticket != ticket);
            answers.push((ticket, answer));
            return;
        }
        self.drop_expired_grants(now);
        let organisation = OrganisationKey::of(request.organisation.as_ref());
        self.shares.record_ask(organisation, now);
        if request.patience == Patience::NoWait && !self.has_immediate_room(request.object, now) {
            answers.push((ticket, Answer::Busy));
            return;
        }
        if !is_waiting {
            self.waiting.push(Waiting {
                ticket,
                organisation,
                object: request.object,
                priority: request.priority,
                queued_at: now,
                objective_at: now + request.objective_left,
                wait_until: now + request.objective_left.mul_f64(OBJECTIVE_WAIT_SHARE),
                deadline: now + request.time_left,
            });
        }
        self.dispatch(now, answers);
        let Some(index) = self.waiting.iter().position(|one| one.ticket == ticket) else {
            return;
        };
        let answer = self.decide(&self.waiting[index], request.patience, now);
        if answer != Answer::Waiting {
            self.waiting.remove(index);
        }
        answers.push((ticket, answer));
    }

    /// Returns the answer to a request that the upstream's rate limit excludes. A waiting
    /// request keeps its place, as new ones leave it a token.
    fn throttled(&mut self, is_waiting: bool, now: MonotonicTime) -> Option<Answer> {
        if !self.throttle.is_limited() {
            return None;
        }
        if !self.throttle.is_coordinating() {
            return Some(Answer::NotCoordinator);
        }
        let retry_after = self.throttle.next_token_in(self.waiting.len(), now);
        let is_exhausted = !is_waiting && !retry_after.is_zero();
        is_exhausted.then_some(Answer::Throttled { retry_after })
    }

    /// Returns whether a request that does not wait may have a slot.
    ///
    /// A first access takes longer here than at the upstream that cached the object. It
    /// gets an idle slot only, so that objects do not spread to other upstreams that are
    /// equally busy. Beside an organisation that floods no slot is idle; the place beyond the
    /// slots, which that organisation does not get, stands for one.
    fn has_immediate_room(&self, object: Option<ObjectKey>, now: MonotonicTime) -> bool {
        let used = self.shares.used(now);
        let mut running = self.running.values();
        let is_flooded = running.any(|one| used.is_excessive(one.charge.organisation));
        let limit = match self.access(object) {
            ObjectAccess::First if !is_flooded => self.slots,
            ObjectAccess::First | ObjectAccess::Repeated => self.slots + UPSTREAM_BACKLOG,
        };
        self.running.len() < limit
    }

    /// Returns the answer to a request that has no slot yet.
    fn decide(&self, waiting: &Waiting, patience: Patience, now: MonotonicTime) -> Answer {
        let served_at = now + self.expected_wait_of(waiting, now) + self.expected(waiting);
        let may_wait = match patience {
            Patience::NoWait => false,
            Patience::WithinObjective => served_at <= waiting.wait_until,
            Patience::UntilDeadline => true,
        };
        if !may_wait {
            return Answer::Busy;
        }
        if served_at > waiting.deadline {
            let retry_after = self.retry_after();
            return Answer::Rejected { retry_after };
        }
        Answer::Waiting
    }

    /// Counts a request that is sent without a grant.
    pub(super) fn record_ungranted(&mut self, request: &SlotRequest, now: MonotonicTime) {
        self.waiting.retain(|one| one.ticket != request.ticket);
        if let Some(report) = request.limit {
            self.throttle.apply(report, now);
        }
        self.throttle.take(now);
        let access = self.access(request.object);
        let running = Running {
            object: request.object,
            access,
            began_at: now,
            expires_at: now + request.time_left,
            is_measured: false,
            charge: self.charge(OrganisationKey::of(request.organisation.as_ref()), access),
        };
        self.begin(request.ticket, running);
    }

    /// Releases the slot of a request that ended or whose requester no longer waits.
    pub(super) fn end(
        &mut self,
        ticket: Ticket,
        ending: Ending,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        if let Some(running) = self.running.remove(&ticket) {
            self.shares
                .settle(running.charge, now - running.began_at, now);
            self.record_completion(running, ending, now);
        }
        self.dispatch(now, answers);
    }

    fn record_completion(&mut self, running: Running, ending: Ending, now: MonotonicTime) {
        match ending {
            Ending::Served if running.is_measured => {
                self.times.record(running.access, now - running.began_at);
            }
            Ending::NotServed if running.access == ObjectAccess::First => {
                if let Some(object) = running.object {
                    self.objects.remove(object);
                }
            }
            Ending::Served | Ending::NotServed => {}
        }
    }

    fn drop_expired_grants(&mut self, now: MonotonicTime) {
        self.running.retain(|_, running| now < running.expires_at);
    }

    /// Grants free slots and rejects waiting requests that can no longer meet their
    /// deadline.
    fn dispatch(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        self.drop_expired_grants(now);
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
        self.reject_expired(now, answers);
    }

    fn grant(&mut self, waiting: &Waiting, now: MonotonicTime) {
        self.throttle.take(now);
        let access = self.access(waiting.object);
        let expires_at = match self.times.expected(access) {
            Some(time) => (now + time * GRANT_TIMEOUT_FACTOR).min(waiting.deadline),
            None => waiting.deadline,
        };
        let running = Running {
            object: waiting.object,
            access,
            began_at: now,
            expires_at,
            is_measured: true,
            charge: self.charge(waiting.organisation, access),
        };
        self.begin(waiting.ticket, running);
    }

    /// Counts a request as started; its object is cached at the upstream from then on.
    fn begin(&mut self, ticket: Ticket, running: Running) {
        if let Some(object) = running.object {
            self.objects.insert(object);
        }
        self.shares.charge(running.charge, running.began_at);
        self.running.insert(ticket, running);
    }

    fn reject_expired(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        let retry_after = self.retry_after();
        let times = self.times;
        let objects = &self.objects;
        self.waiting.retain(|waiting| {
            let access = access_of(objects, waiting.object);
            let expected = times.expected(access).unwrap_or_default();
            let is_expired = now + expected > waiting.deadline;
            if is_expired {
                answers.push((waiting.ticket, Answer::Rejected { retry_after }));
            }
            !is_expired
        });
    }

    /// Returns the index of the request to serve next: by priority, then class, then fair share,
    /// then newest first, since the newest has the latest deadline.
    fn next_waiting(&self, now: MonotonicTime) -> Option<usize> {
        let used = self.shares.used(now);
        let is_backlog_only = self.running.len() >= self.slots;
        let may_run = |organisation| !(is_backlog_only && used.is_excessive(organisation));
        let candidates =
            (0..self.waiting.len()).filter(|&index| may_run(self.waiting[index].organisation));
        candidates.min_by_key(|&index| {
            let waiting = &self.waiting[index];
            (
                waiting.priority,
                self.class_of(waiting, now),
                used.of(waiting.organisation),
                Reverse(waiting.queued_at),
            )
        })
    }

    fn class_of(&self, waiting: &Waiting, now: MonotonicTime) -> ServiceClass {
        if now + self.expected(waiting) <= waiting.objective_at {
            ServiceClass::InTime
        } else if self.access(waiting.object) == ObjectAccess::First {
            ServiceClass::LateFirstAccess
        } else {
            ServiceClass::Late
        }
    }

    fn charge(&self, organisation: OrganisationKey, access: ObjectAccess) -> Charge {
        Charge {
            organisation,
            expected: self.times.expected(access).unwrap_or_default(),
        }
    }

    fn access(&self, object: Option<ObjectKey>) -> ObjectAccess {
        access_of(&self.objects, object)
    }

    fn expected(&self, waiting: &Waiting) -> Duration {
        let access = self.access(waiting.object);
        self.times.expected(access).unwrap_or_default()
    }

    /// Returns the time in which the slots serve all waiting requests.
    fn expected_wait(&self) -> Duration {
        let work: Duration = self.waiting.iter().map(|one| self.expected(one)).sum();
        work / self.slots.max(1) as u32
    }

    /// Returns the time in which the slots serve all waiting requests but those that fair shares
    /// place after this one. An organisation that floods would otherwise have the requests of
    /// all others rejected for a wait that they do not have.
    fn expected_wait_of(&self, waiting: &Waiting, now: MonotonicTime) -> Duration {
        let used = self.shares.used(now);
        let order = |one: &Waiting| (one.priority, self.class_of(one, now));
        let is_after = |one: &Waiting| {
            used.of(one.organisation) > used.of(waiting.organisation)
                && order(one) >= order(waiting)
        };
        let before = self.waiting.iter().filter(|one| !is_after(one));
        before.map(|one| self.expected(one)).sum::<Duration>() / self.slots.max(1) as u32
    }

    /// Returns the largest difference of used service time between two waiting organisations.
    pub(super) fn fair_share_debt(&self, now: MonotonicTime) -> Duration {
        let organisations = self.waiting.iter().map(|waiting| waiting.organisation);
        self.shares.used(now).spread(organisations)
    }

    /// Returns the time after which a slot is expected to be free.
    fn retry_after(&self) -> Duration {
        self.expected_wait().clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

fn access_of(objects: &RecentObjects, object: Option<ObjectKey>) -> ObjectAccess {
    match object {
        Some(object) if objects.contains(object) => ObjectAccess::Repeated,
        _ => ObjectAccess::First,
    }
}
