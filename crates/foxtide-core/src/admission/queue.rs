//! The slots of one upstream and the requests that wait for them.

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
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// How many requests wait at the upstream itself, so that no slot is idle while the
/// end of one request and the grant of the next are on their way. Against none, one
/// brings 0.003 to 0.027 of the worth of days of high load, most where work is short;
/// two take 0.01 off again where work is long.
const UPSTREAM_BACKLOG: usize = 1;

/// By how much longer than expected a request may hold a slot before its grant lapses:
/// times of work spread by 15 % or so. Ends that are lost keep slots taken until then; the
/// request's limit in place of this costs 0.005 to 0.010 of the worth of days with 77
/// instances.
const GRANT_TIMEOUT_FACTOR: u32 = 4;

/// The bounds of when a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);

/// The part of a request's objective within which its own upstream has to serve it, else a
/// neighbour does if it has room. The other half is for what no forecast knows: the way,
/// work that varies, newer requests that go first. Requests that wait for the whole of it
/// pile up in the regions that are short of upstreams; when callers ask for less, what is
/// left is served there alone, and the region's part of the traffic jumps. Against the
/// whole, half of it leaves a third of such requests and brings 0.001 to 0.009 of the worth
/// of days of high load; it costs 0.010 of the first 12 s after a start. A quarter brings no
/// more (model of load, eight seeds; twenty of the start).
const OBJECTIVE_WAIT_SHARE: f64 = 0.5;

/// One request that an upstream works on, as far as is known.
#[derive(Clone, Copy, Debug)]
struct Running {
    object: Option<ObjectKey>,
    access: ObjectAccess,
    began_at: MonotonicTime,
    /// When it no longer counts, whether its end was told or not.
    expires_at: MonotonicTime,
    /// Whether its time tells how long the upstream works: not so for one that
    /// was sent without a grant, which may wait at the upstream.
    is_measured: bool,
}

/// One request that waits for a slot.
#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    object: Option<ObjectKey>,
    priority: u32,
    queued_at: MonotonicTime,
    objective_at: MonotonicTime,
    /// Until when it is served early enough not to be served elsewhere.
    wait_until: MonotonicTime,
    deadline: MonotonicTime,
}

/// How useful it is to serve a waiting request next; the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ServiceClass {
    /// Its answer will be in time.
    InTime,
    /// It will be late, but requests for the same object are faster after it.
    LateFirstAccess,
    /// It will be late.
    Late,
}

/// The slots of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    slots: usize,
    running: HashMap<Ticket, Running>,
    waiting: Vec<Waiting>,
    objects: RecentObjects,
    times: ServiceTimes,
}

impl SlotQueue {
    /// Sets how many requests the upstream works on at a time.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1) as usize;
    }

    /// Tells whether a request waits or is under way.
    pub(super) fn contains(&self, ticket: Ticket) -> bool {
        let is_waiting = self.waiting.iter().any(|waiting| waiting.ticket == ticket);
        is_waiting || self.running.contains_key(&ticket)
    }

    /// Takes in a question; its answer is among `answers`, with those of others
    /// that it changes.
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
        self.drop_expired_grants(now);
        if request.patience == Patience::NoWait && !self.has_immediate_room(request.object) {
            answers.push((ticket, Answer::Busy));
            return;
        }
        if !self.waiting.iter().any(|waiting| waiting.ticket == ticket) {
            self.waiting.push(Waiting {
                ticket,
                object: request.object,
                priority: request.priority,
                queued_at: now,
                objective_at: now + request.objective_left,
                wait_until: now + request.objective_left.mul_f64(OBJECTIVE_WAIT_SHARE),
                deadline: now + request.time_left,
            });
        }
        self.dispatch(now, answers);
        let Some(at) = self.waiting.iter().position(|one| one.ticket == ticket) else {
            return;
        };
        let answer = self.decide(&self.waiting[at], request.patience, now);
        if answer != Answer::Waiting {
            self.waiting.remove(at);
        }
        answers.push((ticket, answer));
    }

    /// Tells whether a request that does not wait may have a slot.
    ///
    /// One whose object is not known here takes a slot for three to four times as long as
    /// the upstream's own. It gets an idle slot only, else objects spread to neighbours
    /// that are as busy, most of all at a start where none knows any. That brings 0.007 of
    /// the worth of a start and of days of high load, in the model of load.
    fn has_immediate_room(&self, object: Option<ObjectKey>) -> bool {
        let places = match self.access(object) {
            ObjectAccess::Repeated => self.slots + UPSTREAM_BACKLOG,
            ObjectAccess::First => self.slots,
        };
        self.running.len() < places
    }

    /// Returns what one that has to wait is told.
    fn decide(&self, waiting: &Waiting, patience: Patience, now: MonotonicTime) -> Answer {
        let served_at = now + self.expected_wait() + self.expected(waiting);
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
            return Answer::Refused { retry_after };
        }
        Answer::Waiting
    }

    /// Counts a request that is sent without a grant.
    pub(super) fn record_ungranted(&mut self, request: &SlotRequest, now: MonotonicTime) {
        self.waiting.retain(|one| one.ticket != request.ticket);
        let access = self.access(request.object);
        let running = Running {
            object: request.object,
            access,
            began_at: now,
            expires_at: now + request.time_left,
            is_measured: false,
        };
        self.begin(request.ticket, running);
    }

    /// Takes in that a request ended or that its requester waits no longer.
    pub(super) fn end(
        &mut self,
        ticket: Ticket,
        ending: Ending,
        now: MonotonicTime,
        answers: &mut Vec<(Ticket, Answer)>,
    ) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
        if let Some(running) = self.running.remove(&ticket) {
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

    /// Lets go of grants whose end was not told in time.
    fn drop_expired_grants(&mut self, now: MonotonicTime) {
        self.running.retain(|_, running| now < running.expires_at);
    }

    /// Gives out free slots and refuses what cannot be served any more.
    fn dispatch(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        self.drop_expired_grants(now);
        while self.running.len() < self.slots + UPSTREAM_BACKLOG {
            let Some(at) = self.next_waiting(now) else {
                break;
            };
            let next = self.waiting.remove(at);
            answers.push((next.ticket, Answer::Granted));
            self.grant(&next, now);
        }
        self.refuse_expired(now, answers);
    }

    fn grant(&mut self, waiting: &Waiting, now: MonotonicTime) {
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
        };
        self.begin(waiting.ticket, running);
    }

    /// Counts a request as begun; from then on the upstream knows its object.
    fn begin(&mut self, ticket: Ticket, running: Running) {
        if let Some(object) = running.object {
            self.objects.insert(object);
        }
        self.running.insert(ticket, running);
    }

    fn refuse_expired(&mut self, now: MonotonicTime, answers: &mut Vec<(Ticket, Answer)>) {
        let retry_after = self.retry_after();
        let times = self.times;
        let objects = &self.objects;
        self.waiting.retain(|waiting| {
            let access = access_of(objects, waiting.object);
            let expected = times.expected(access).unwrap_or_default();
            let is_expired = now + expected > waiting.deadline;
            if is_expired {
                answers.push((waiting.ticket, Answer::Refused { retry_after }));
            }
            !is_expired
        });
    }

    /// Returns which of the waiting is to be served next: of those of one rank and use the
    /// newest, whose deadline is the furthest. First come first served in place of this
    /// order costs 0.005 to 0.025 of the worth of whole days; the earliest deadline first
    /// among those in time is worth the same.
    fn next_waiting(&self, now: MonotonicTime) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|&at| {
            let waiting = &self.waiting[at];
            (
                waiting.priority,
                self.class_of(waiting, now),
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

    fn access(&self, object: Option<ObjectKey>) -> ObjectAccess {
        access_of(&self.objects, object)
    }

    fn expected(&self, waiting: &Waiting) -> Duration {
        let access = self.access(waiting.object);
        self.times.expected(access).unwrap_or_default()
    }

    /// Returns how long the requests that wait, this one among them, keep the slots busy.
    fn expected_wait(&self) -> Duration {
        let work: Duration = self.waiting.iter().map(|one| self.expected(one)).sum();
        work / self.slots.max(1) as u32
    }

    /// Returns when room is expected.
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
