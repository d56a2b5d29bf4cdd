//! A discrete-event simulation of instances and upstreams in virtual time.

use super::policies::{
    Choice,
    FinishedAttempt,
    Policy, //
};
use super::scenario::{
    Scenario,
    Summary, //
};
use super::upstream::{
    FakeUpstream,
    Reception, //
};
use foxtide_core::choice::{
    CompletionKind,
    Ticket, //
};
use foxtide_core::organisation::Upstream;
use foxtide_core::retry::{
    AttemptId,
    AttemptResult,
    Attempts,
    RequestTerms,
    RetryBudget,
    RetryBudgetOptions,
    RetryOptions,
    Step, //
};
use foxtide_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    VecDeque, //
};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Dispatch(usize),
    Reach(usize),
    RunEnds(usize),
    Answer(usize),
    TimeOut(usize),
    Hedge(usize),
    Wake(usize),
    Poll(usize),
    PollAnswer(usize, usize, bool),
}

#[derive(Debug)]
struct Request {
    arrived: MonotonicTime,
    instance: usize,
    attempts: Attempts,
    tried: Vec<usize>,
    open_attempts: Vec<usize>,
    done: bool,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    id: AttemptId,
    upstream: usize,
    ticket: Option<Ticket>,
    sent: MonotonicTime,
    result: AttemptResult,
    utilization: Option<f64>,
    ended: bool,
}

#[derive(Debug)]
struct FakeInstance<P> {
    policy: P,
    budget: RetryBudget,
    waiting: VecDeque<usize>,
    /// The time of the wake-up that is scheduled for waiting requests.
    wake_at: Option<MonotonicTime>,
}

/// The state of a simulation.
#[derive(Debug)]
pub(crate) struct Fleet<P> {
    scenario: Scenario,
    instances: Vec<FakeInstance<P>>,
    upstreams: Vec<FakeUpstream>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(MonotonicTime, u64, Event)>>,
    scheduled: u64,
    random: fastrand::Rng,
    now: MonotonicTime,
    summary: Summary,
}

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which an unanswered poll fails.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Policy> Fleet<P> {
    /// Runs a scenario and returns its results.
    pub(crate) fn run(scenario: Scenario, upstreams: &[Upstream]) -> Summary {
        let instance = |number| FakeInstance {
            policy: P::new(upstreams, number, scenario.instances),
            budget: RetryBudget::new(RetryBudgetOptions::default(), MonotonicTime::ZERO),
            waiting: VecDeque::new(),
            wake_at: None,
        };
        let mut fleet = Self {
            instances: (0..scenario.instances).map(instance).collect(),
            upstreams: scenario
                .upstreams
                .iter()
                .cloned()
                .map(FakeUpstream::new)
                .collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            random: fastrand::Rng::with_seed(scenario.seed),
            now: MonotonicTime::ZERO,
            summary: Summary::default(),
            scenario,
        };
        fleet.run_events();
        fleet.summary
    }

    fn run_events(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive);
        for instance in 0..self.instances.len() {
            self.schedule(POLL_INTERVAL * instance as u32 / 10, Event::Poll(instance));
        }
        let end = MonotonicTime::ZERO + self.scenario.duration;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let counted = self.scenario.duration - self.scenario.warm_up;
        let answered = self.summary.latencies_us.len() as f64;
        self.summary.goodput = answered / counted.as_secs_f64() / self.capacity_rps();
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let entry = (self.now + after, self.scheduled, event);
        self.events.push(Reverse(entry));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Dispatch(request) => self.dispatch(request),
            Event::Reach(attempt) => self.reach_upstream(attempt),
            Event::RunEnds(attempt) => self.run_ends(attempt),
            Event::Answer(attempt) => self.end_attempt(attempt),
            Event::TimeOut(attempt) => self.time_out(attempt),
            Event::Hedge(request) => self.hedge(request),
            Event::Wake(instance) => {
                self.instances[instance].wake_at = None;
                self.serve_waiting(instance);
            }
            Event::Poll(instance) => self.poll(instance),
            Event::PollAnswer(instance, upstream, answered) => {
                let utilization = answered.then(|| self.upstreams[upstream].reported_utilization());
                self.instances[instance]
                    .policy
                    .record_poll(upstream, utilization, self.now);
            }
        }
    }

    /// Returns the rate that all upstreams together can serve.
    fn capacity_rps(&self) -> f64 {
        let rate = |upstream: &FakeUpstream| {
            upstream.profile.slots as f64 / upstream.profile.run_mean.as_secs_f64()
        };
        self.upstreams.iter().map(rate).sum()
    }

    fn is_measured(&self) -> bool {
        self.now - MonotonicTime::ZERO >= self.scenario.warm_up
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.random.f64()).ln())
    }

    /// Returns the current load, with a burst in the first second of every four.
    fn current_load(&self) -> f64 {
        const BURST_PERIOD_S: u64 = 4;
        let in_burst = (self.now.as_ms() / 1_000).is_multiple_of(BURST_PERIOD_S);
        let others = BURST_PERIOD_S as f64 - 1.0;
        let quiet_factor = (BURST_PERIOD_S as f64 - self.scenario.burst_factor) / others;
        let factor = if in_burst {
            self.scenario.burst_factor
        } else {
            quiet_factor
        };
        self.scenario.load * factor
    }

    fn arrive(&mut self) {
        let gap = Duration::from_secs_f64(1.0 / (self.capacity_rps() * self.current_load()));
        let gap = self.exponential(gap);
        self.schedule(gap, Event::Arrive);
        let terms = RequestTerms {
            idempotent: self.scenario.idempotent,
            deadline: self.now + self.scenario.deadline,
            hedge_delay: self.scenario.hedge_delay,
        };
        let instance = self.random.usize(..self.instances.len());
        self.requests.push(Request {
            arrived: self.now,
            instance,
            attempts: Attempts::new(
                terms,
                RetryOptions {
                    rejections_max: P::REJECTIONS_MAX,
                    ..RetryOptions::default()
                },
            ),
            tried: Vec::new(),
            open_attempts: Vec::new(),
            done: false,
        });
        self.summary.offered += u64::from(self.is_measured());
        let request = self.requests.len() - 1;
        if self.instances[instance].waiting.is_empty() {
            self.dispatch(request);
        } else {
            self.instances[instance].waiting.push_back(request);
        }
    }

    /// Sends a request or queues it at its instance.
    fn dispatch(&mut self, number: usize) {
        if let Some(wait) = self.try_send(number) {
            let instance = self.requests[number].instance;
            self.instances[instance].waiting.push_back(number);
            self.wake_in(instance, wait);
        }
    }

    /// Sends a request, or returns how long to wait if no upstream is available.
    fn try_send(&mut self, number: usize) -> Option<Duration> {
        let draw = self.random.u64(..);
        let request = &mut self.requests[number];
        let policy = &mut self.instances[request.instance].policy;
        match policy.choose(self.now, draw, &request.tried) {
            Choice::Wait(wait) => Some(wait),
            Choice::Send(upstream, ticket) => {
                self.send(number, upstream, ticket);
                None
            }
        }
    }

    fn send(&mut self, number: usize, upstream: usize, ticket: Option<Ticket>) {
        let now = self.now;
        let request = &mut self.requests[number];
        let id = request.attempts.begin(now);
        let is_first = request.attempts.begun() == 1;
        request.tried.push(upstream);
        request.open_attempts.push(self.attempts.len());
        self.attempts.push(Attempt {
            request: number,
            id,
            upstream,
            ticket,
            sent: now,
            result: AttemptResult::Answered,
            utilization: None,
            ended: false,
        });
        let attempt = self.attempts.len() - 1;
        let time_left = request.attempts.terms().deadline - now;
        if let Some(at) = request.attempts.hedge_at().filter(|_| is_first) {
            self.schedule(at - now, Event::Hedge(number));
        }
        self.schedule(time_left, Event::TimeOut(attempt));
        self.schedule(self.scenario.delay, Event::Reach(attempt));
        self.summary.attempts += u64::from(self.is_measured());
        self.record_sent_to_dead(upstream);
    }

    fn record_sent_to_dead(&mut self, upstream: usize) {
        if !self.upstreams[upstream].is_dead(self.now) {
            return;
        }
        let died_at = self.upstreams[upstream].profile.dies_at;
        self.summary.last_sent_to_dead = died_at.map(|at| self.now - at);
    }

    fn reach_upstream(&mut self, number: usize) {
        let upstream = self.attempts[number].upstream;
        match self.upstreams[upstream].receive(number, self.now) {
            Reception::Runs => self.start_run(number),
            Reception::Rejected => {
                let rejected = AttemptResult::Rejected { retry_after: None };
                self.answer(number, rejected);
            }
            Reception::Waits | Reception::Dropped => {}
        }
    }

    fn start_run(&mut self, number: usize) {
        let mean = self.upstreams[self.attempts[number].upstream]
            .profile
            .run_mean;
        let fixed = mean.mul_f64(self.scenario.fixed_run_share);
        let time = fixed + self.exponential(mean - fixed);
        self.schedule(time, Event::RunEnds(number));
    }

    fn run_ends(&mut self, number: usize) {
        let upstream = self.attempts[number].upstream;
        if let Some(next) = self.upstreams[upstream].finish_request() {
            self.start_run(next);
        }
        if self.upstreams[upstream].is_dead(self.now) {
            return;
        }
        let failed = self.random.f64() < self.upstreams[upstream].profile.error_share;
        let result = if failed {
            AttemptResult::ServerError
        } else {
            AttemptResult::Answered
        };
        self.answer(number, result);
    }

    fn answer(&mut self, number: usize, result: AttemptResult) {
        let reported = self.upstreams[self.attempts[number].upstream].reported_utilization();
        self.attempts[number].result = result;
        self.attempts[number].utilization = Some(reported);
        self.schedule(self.scenario.delay, Event::Answer(number));
    }

    fn time_out(&mut self, number: usize) {
        if !self.attempts[number].ended {
            self.attempts[number].result = AttemptResult::TimedOut;
            self.attempts[number].utilization = None;
            self.end_attempt(number);
        }
    }

    /// Applies the result of an attempt at its instance.
    fn end_attempt(&mut self, number: usize) {
        if self.attempts[number].ended {
            return;
        }
        let result = self.attempts[number].result;
        self.release(number, completion_kind(result));
        let request_number = self.attempts[number].request;
        let request = &mut self.requests[request_number];
        let instance = request.instance;
        let budget = &mut self.instances[instance].budget;
        let id = self.attempts[number].id;
        let step = request.attempts.end(id, result, budget, self.now);
        self.apply_step(request_number, step, result);
        self.serve_waiting(instance);
    }

    fn release(&mut self, number: usize, kind: CompletionKind) {
        let attempt = &mut self.attempts[number];
        attempt.ended = true;
        let finished = FinishedAttempt {
            index: attempt.upstream,
            ticket: attempt.ticket.take(),
            kind,
            latency: self.now - attempt.sent,
            utilization: attempt.utilization,
        };
        let instance = self.requests[attempt.request].instance;
        self.instances[instance]
            .policy
            .record_finished(finished, self.now);
        if kind == CompletionKind::Rejected && self.is_measured() {
            self.summary.rejected_attempts += 1;
        }
    }

    fn apply_step(&mut self, number: usize, step: Step, result: AttemptResult) {
        match step {
            Step::Answer(_) if result == AttemptResult::Answered => self.finish(number, true),
            Step::Answer(_) | Step::GiveUp(_) => self.finish(number, false),
            Step::Retry { after } if after.is_zero() => {
                let instance = self.requests[number].instance;
                self.instances[instance].waiting.push_front(number);
            }
            Step::Retry { after } => self.schedule(after, Event::Dispatch(number)),
            Step::Hedge => {
                let _ = self.try_send(number);
            }
            Step::Await => {}
        }
    }

    fn finish(&mut self, number: usize, answered: bool) {
        let request = &mut self.requests[number];
        request.done = true;
        let latency = self.now - request.arrived;
        for attempt in std::mem::take(&mut request.open_attempts) {
            if !self.attempts[attempt].ended {
                self.release(attempt, CompletionKind::Cancelled);
            }
        }
        if !self.is_measured() {
            return;
        }
        if answered {
            self.summary.latencies_us.push(latency.as_micros() as u64);
        } else {
            self.summary.given_up += 1;
        }
    }

    fn hedge(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let instance = &mut self.instances[request.instance];
        if request.done || !instance.policy.may_hedge() {
            return;
        }
        let budget = &mut instance.budget;
        let step = request.attempts.hedge(budget, self.now);
        self.apply_step(number, step, AttemptResult::NotSent);
    }

    fn wake_in(&mut self, instance: usize, wait: Duration) {
        let at = self.now + wait;
        let current = self.instances[instance].wake_at;
        if current.is_none_or(|at| at <= self.now) {
            self.instances[instance].wake_at = Some(at);
            self.schedule(wait, Event::Wake(instance));
        }
    }

    /// Sends the waiting requests of an instance in order.
    fn serve_waiting(&mut self, instance: usize) {
        while let Some(&number) = self.instances[instance].waiting.front() {
            if self.now - self.requests[number].arrived >= self.scenario.wait_max {
                self.instances[instance].waiting.pop_front();
                self.finish(number, false);
                continue;
            }
            if let Some(wait) = self.try_send(number) {
                self.wake_in(instance, wait);
                return;
            }
            self.instances[instance].waiting.pop_front();
        }
    }

    fn poll(&mut self, instance: usize) {
        self.schedule(POLL_INTERVAL, Event::Poll(instance));
        for upstream in self.instances[instance].policy.due_polls(self.now) {
            let answered = !self.upstreams[upstream].is_dead(self.now);
            let after = if answered {
                self.scenario.delay * 2
            } else {
                POLL_TIMEOUT
            };
            self.schedule(after, Event::PollAnswer(instance, upstream, answered));
        }
    }
}

fn completion_kind(result: AttemptResult) -> CompletionKind {
    match result {
        AttemptResult::NotSent => CompletionKind::NotSent,
        AttemptResult::Rejected { .. } => CompletionKind::Rejected,
        AttemptResult::Answered => CompletionKind::Answered,
        AttemptResult::ServerError => CompletionKind::Failed,
        AttemptResult::Lost => CompletionKind::Lost,
        AttemptResult::TimedOut => CompletionKind::TimedOut,
    }
}
