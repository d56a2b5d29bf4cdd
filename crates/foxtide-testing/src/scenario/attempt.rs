//! Simulates attempts in transit between instances and upstreams, and polls of load
//! endpoints.

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

/// Time after its announcement in which a leaving upstream may still receive new
/// requests.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt that its instance is waiting for.
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

/// An attempt on the upstream's side. It remains when the instance has abandoned the
/// attempt or ended, as the upstream may still run it.
#[derive(Debug)]
pub(super) struct SentAttempt {
    operation: OperationNumber,
    upstream: UpstreamId,
    route: Route,
}

impl Fleet {
    pub(super) fn start_attempt(
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
        let sent = SentAttempt {
            operation,
            upstream: upstream.clone(),
            route,
        };
        self.sent_attempts.insert(number, sent);
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
            let delay = self.now - since;
            let breach = format!("{upstream} got a request {delay:?} after its announcement");
            self.record.violations.sent_to_draining.push(breach);
        }
    }

    /// Passes an attempt that has arrived to its upstream.
    pub(super) fn receive_attempt(&mut self, number: AttemptNumber) {
        let Some(sent) = self.sent_attempts.get(&number) else {
            return;
        };
        let id = sent.upstream.clone();
        self.record.count_attempt(&sent.route, &id, self.now);
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        match upstream.receive(number) {
            Reception::Started(time) => self.begin_service(&id, number, time),
            Reception::Queued | Reception::Ignored => {}
            Reception::Rejected => self.send_attempt_end(number, AttemptEnd::Refused),
            Reception::ConnectionRefused => self.send_attempt_end(number, AttemptEnd::NotSent),
        }
    }

    fn begin_service(&mut self, upstream: &UpstreamId, number: AttemptNumber, time: Duration) {
        let operation = self.sent_attempts.get(&number).map(|sent| sent.operation);
        if let Some(operation) = operation.and_then(|o| self.operations.get_mut(&o)) {
            operation.runs += 1;
        }
        let event = Event::ServiceEnds {
            upstream: upstream.clone(),
            attempt: number,
        };
        self.schedule.add(self.now + time, event);
    }

    /// Removes a cancelled attempt from its upstream.
    pub(super) fn receive_cancel(&mut self, number: AttemptNumber) {
        let Some(sent) = self.sent_attempts.remove(&number) else {
            return;
        };
        let upstream = self.upstreams.get_mut(&sent.upstream);
        let next = upstream.and_then(|upstream| upstream.finish(number));
        if let Some((next, time)) = next {
            self.begin_service(&sent.upstream, next, time);
        }
    }

    /// Ends an attempt that an upstream has run, and starts the next one in its queue.
    pub(super) fn finish_service(&mut self, id: &UpstreamId, number: AttemptNumber) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if !upstream.is_running(number) {
            return;
        }
        let next = upstream.finish(number);
        let fault = upstream.fault;
        if let Some((next, time)) = next {
            self.begin_service(id, next, time);
        }
        self.sent_attempts.remove(&number);
        match fault {
            UpstreamFault::LosingAnswers => self.send_attempt_end(number, AttemptEnd::Lost),
            UpstreamFault::Silent => {}
            UpstreamFault::Late(by) => self.delay_attempt_end(number, by, AttemptEnd::Answered),
            _ => self.send_attempt_end(number, AttemptEnd::Answered),
        }
    }

    pub(super) fn send_attempt_end(&mut self, number: AttemptNumber, end: AttemptEnd) {
        self.delay_attempt_end(number, Duration::ZERO, end);
    }

    fn delay_attempt_end(&mut self, number: AttemptNumber, after: Duration, end: AttemptEnd) {
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

    /// Abandons an attempt and sends its upstream a cancellation, unless the link is cut.
    pub(super) fn abandon_attempt(&mut self, number: AttemptNumber) -> Option<Attempt> {
        let attempt = self.attempts.remove(&number)?;
        if let Some(delay) = self.delay_to(attempt.instance, &attempt.region) {
            let event = Event::CancelArrives(number);
            self.schedule.add(self.now + delay, event);
        }
        Some(attempt)
    }

    /// Sends the load polls of an instance that are due.
    pub(super) fn poll_upstreams(&mut self, index: usize) {
        let now = self.now;
        let mut due = Vec::new();
        let Some(process) = &mut self.instances[index].process else {
            return;
        };
        for (service, state) in &mut process.services {
            for (region, balancer) in &mut state.balancers {
                while let Some(poll) = balancer.next_poll(now) {
                    due.push((service.clone(), region.clone(), poll));
                }
            }
        }
        for (service, region, poll) in due {
            let (after, result) = self.poll_result(index, &region, &poll.upstream().upstream);
            let delivery = Delivery::Poll {
                service,
                region,
                poll,
                result,
            };
            self.send(index, after, delivery);
        }
    }

    fn poll_result(
        &self,
        index: usize,
        region: &RegionId,
        upstream: &UpstreamId,
    ) -> (Duration, PollResult) {
        let upstream = self.upstreams.get(upstream);
        let link = self.delay_to(index, region).zip(upstream);
        let Some((delay, upstream)) = link else {
            return (POLL_TIMEOUT, PollResult::TimedOut);
        };
        match upstream.fault {
            UpstreamFault::Dead => (delay * 2, PollResult::Unreachable),
            UpstreamFault::Silent => (POLL_TIMEOUT, PollResult::TimedOut),
            _ => {
                let utilization = upstream.reported_utilization();
                let answered = PollResult::Answered {
                    load: Some(LoadReport { utilization }),
                    draining: upstream.draining_since.is_some(),
                };
                (delay * 2, answered)
            }
        }
    }
}
