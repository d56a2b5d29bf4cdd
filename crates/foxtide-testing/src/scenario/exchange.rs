//! An attempt's way to an upstream and back.

use super::event::{
    AttemptEnd,
    CopyNumber,
    Delivery,
    Event, //
};
use super::fleet::Fleet;
use super::operation::OperationNumber;
use super::record::Route;
use super::upstream::{
    AttemptNumber,
    Reception,
    UpstreamFault, //
};
use foxtide_core::choice::{
    LoadReport,
    PollResult,
    Ticket, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::retry::AttemptId;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// How long after its announcement a leaving upstream may get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// How long a poll of the load endpoint may stay unanswered.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// One attempt under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) copy: CopyNumber,
    pub(super) id: AttemptId,
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) upstream: UpstreamId,
    pub(super) ticket: Ticket,
    pub(super) sent_at: MonotonicTime,
    instance: usize,
}

/// What an upstream gets of an attempt. It stays when the instance has given
/// the attempt up or has died, for the upstream may run it all the same.
#[derive(Debug)]
pub(super) struct Passage {
    operation: OperationNumber,
    upstream: UpstreamId,
    route: Route,
}

impl Fleet {
    /// Sends an attempt to its upstream.
    pub(super) fn launch(
        &mut self,
        copy: CopyNumber,
        id: AttemptId,
        service: ServiceId,
        region: RegionId,
        ticket: Ticket,
    ) -> AttemptNumber {
        let number = self.next_number();
        let sender = self.copies.get(&copy);
        let (instance, operation) = sender.map_or((0, 0), |copy| (copy.instance, copy.operation));
        let upstream = ticket.upstream().upstream.clone();
        self.check_leaving(&service, &upstream);
        if let Some(delay) = self.delay_to(instance, &region) {
            let event = Event::AttemptArrives(number);
            self.schedule.add(self.now + delay, event);
        }
        let route = Route {
            service: service.clone(),
            origin: self.instances[instance].region.clone(),
            target: region.clone(),
        };
        let passage = Passage {
            operation,
            upstream: upstream.clone(),
            route,
        };
        self.passages.insert(number, passage);
        let attempt = Attempt {
            copy,
            id,
            service,
            region,
            upstream,
            ticket,
            sent_at: self.now,
            instance,
        };
        self.attempts.insert(number, attempt);
        number
    }

    fn check_leaving(&mut self, service: &ServiceId, upstream: &UpstreamId) {
        let Some(since) = self.leaving_since(service, upstream) else {
            return;
        };
        if self.now > since + LEAVING_GRACE {
            let late = self.now - since;
            let breach = format!("{upstream} got a request {late:?} after its announcement");
            self.record.violations.sent_to_draining.push(breach);
        }
    }

    /// Lets an attempt reach its upstream.
    pub(super) fn attempt_arrives(&mut self, number: AttemptNumber) {
        let Some(passage) = self.passages.get(&number) else {
            return;
        };
        let id = passage.upstream.clone();
        self.record.count_attempt(&passage.route, &id, self.now);
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        match upstream.receive(number) {
            Reception::Runs(time) => self.begin_service(&id, number, time),
            Reception::Waits | Reception::Ignored => {}
            Reception::Refused => self.answer_attempt(number, AttemptEnd::Refused),
            Reception::Unreachable => self.answer_attempt(number, AttemptEnd::NotSent),
        }
    }

    fn begin_service(&mut self, upstream: &UpstreamId, number: AttemptNumber, time: Duration) {
        let operation = self.passages.get(&number).map(|passage| passage.operation);
        if let Some(operation) = operation.and_then(|o| self.operations.get_mut(&o)) {
            operation.runs += 1;
        }
        let event = Event::ServiceEnds {
            upstream: upstream.clone(),
            attempt: number,
        };
        self.schedule.add(self.now + time, event);
    }

    /// Lets an upstream hear that a caller has given an attempt up.
    pub(super) fn cancel_arrives(&mut self, number: AttemptNumber) {
        let Some(passage) = self.passages.remove(&number) else {
            return;
        };
        let upstream = self.upstreams.get_mut(&passage.upstream);
        let next = upstream.and_then(|upstream| upstream.end(number));
        if let Some((next, time)) = next {
            self.begin_service(&passage.upstream, next, time);
        }
    }

    /// Lets an upstream be done with an attempt.
    pub(super) fn service_ends(&mut self, id: &UpstreamId, number: AttemptNumber) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if !upstream.runs(number) {
            return;
        }
        let next = upstream.end(number);
        let fault = upstream.fault;
        if let Some((next, time)) = next {
            self.begin_service(id, next, time);
        }
        self.passages.remove(&number);
        match fault {
            UpstreamFault::LosingAnswers => self.answer_attempt(number, AttemptEnd::Lost),
            UpstreamFault::Silent => {}
            UpstreamFault::Late(by) => self.answer_later(number, by, AttemptEnd::Answered),
            _ => self.answer_attempt(number, AttemptEnd::Answered),
        }
    }

    /// Sends the end of an attempt back to its instance.
    pub(super) fn answer_attempt(&mut self, number: AttemptNumber, end: AttemptEnd) {
        self.answer_later(number, Duration::ZERO, end);
    }

    fn answer_later(&mut self, number: AttemptNumber, after: Duration, end: AttemptEnd) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        let (instance, region) = (attempt.instance, attempt.region.clone());
        if let Some(delay) = self.delay_to(instance, &region) {
            let attempt = number;
            let delivery = Delivery::AttemptEnds { attempt, end };
            self.send(instance, after + delay, delivery);
        }
    }

    /// Gives an attempt up; its upstream hears of it unless it is cut off.
    pub(super) fn call_off(&mut self, number: AttemptNumber) -> Option<Attempt> {
        let attempt = self.attempts.remove(&number)?;
        if let Some(delay) = self.delay_to(attempt.instance, &attempt.region) {
            let event = Event::CancelArrives(number);
            self.schedule.add(self.now + delay, event);
        }
        Some(attempt)
    }

    /// Asks the load endpoints that are due.
    pub(super) fn poll_upstreams(&mut self, place: usize) {
        let now = self.now;
        let mut due = Vec::new();
        let Some(process) = &mut self.instances[place].process else {
            return;
        };
        for (service, tools) in &mut process.services {
            for (region, balancer) in &mut tools.balancers {
                while let Some(poll) = balancer.next_poll(now) {
                    due.push((service.clone(), region.clone(), poll));
                }
            }
        }
        for (service, region, poll) in due {
            let (after, result) = self.poll_result(place, &region, &poll.upstream().upstream);
            let delivery = Delivery::Poll {
                service,
                region,
                poll,
                result,
            };
            self.send(place, after, delivery);
        }
    }

    fn poll_result(
        &self,
        place: usize,
        region: &RegionId,
        upstream: &UpstreamId,
    ) -> (Duration, PollResult) {
        let upstream = self.upstreams.get(upstream);
        let way = self.delay_to(place, region).zip(upstream);
        let Some((delay, upstream)) = way else {
            return (POLL_TIMEOUT, PollResult::TimedOut);
        };
        match upstream.fault {
            UpstreamFault::Dead => (delay * 2, PollResult::Unreachable),
            UpstreamFault::Silent => (POLL_TIMEOUT, PollResult::TimedOut),
            _ => {
                let utilization = upstream.reported_utilization();
                let answered = PollResult::Answered {
                    load: Some(LoadReport { utilization }),
                    draining: upstream.drains_since.is_some(),
                };
                (delay * 2, answered)
            }
        }
    }
}
