//! Discrete-event simulation of a fleet, with faults at every step of a request.

use super::policy::{
    Decision,
    Policy,
    Reply,
    View, //
};
use super::simulation::{
    SimulationOptions,
    Tally, //
};
use super::state::{
    Attempt,
    Event,
    Instance,
    KeyState,
    Request, //
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::WallTime;
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

pub(super) const TICK_PERIOD_US: u64 = 100_000;

/// Delay until all instances and callers know that a process crashed or started.
pub(super) const MEMBERSHIP_LAG_US: u64 = 1_000_000;

pub(super) const SIMULATION_START: WallTime = WallTime::from_ms(1_800_000_000_000);

const SEED: u64 = 6_007;
const ATTEMPTS_MAX: usize = 6;
const CALLER_TIMEOUT_US: u64 = 500_000;
const RETRY_DELAY_US: u64 = 200_000;
const CLOCK_SKEW_MAX_US: u64 = 250_000;

/// The fleet, its callers and its upstreams.
pub(super) struct Fleet<P: Policy> {
    pub(super) policy: P,
    pub(super) options: SimulationOptions,
    pub(super) random: StdRng,
    pub(super) now_us: u64,
    /// Pending events by time, then by the order of scheduling.
    pub(super) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled so far.
    pub(super) scheduled: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) requests: Vec<Request<P::Key>>,
    pub(super) attempts: Vec<Attempt<P::Claim>>,
    pub(super) tally: Tally,
}

impl<P: Policy> Fleet<P> {
    /// Creates a fleet and schedules the start of all requests.
    pub(super) fn new(policy: P, options: SimulationOptions) -> Self {
        let mut random = StdRng::seed_from_u64(SEED);
        let instances = (0..options.instances).map(|_| Instance {
            process: 0,
            alive: true,
            changed_us: 0,
            paused_until_us: 0,
            skew_us: random.random_range(0..=CLOCK_SKEW_MAX_US),
        });
        let instances = instances.collect();
        let mut fleet = Self {
            policy,
            options,
            random,
            now_us: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            instances,
            requests: Vec::new(),
            attempts: Vec::new(),
            tally: Tally::default(),
        };
        let interval_us = 1_000_000 / options.rate_rps;
        // Membership is settled before the first request.
        let first_us = 2 * MEMBERSHIP_LAG_US;
        for request in 0..options.requests {
            fleet.schedule_at(
                first_us + request as u64 * interval_us,
                Event::Start { request },
            );
        }
        fleet.schedule(TICK_PERIOD_US, Event::Tick);
        fleet
    }

    /// Runs the simulation until all requests have ended.
    pub(super) fn run(mut self) -> Tally {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.into_tally()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { request } => self.start(request),
            Event::Arrive { attempt } => self.at_instance(attempt, event, Self::arrive),
            Event::Write { attempt } => self.at_instance(attempt, event, Self::write),
            Event::UpstreamRuns { attempt } => self.upstream_runs(attempt),
            Event::UpstreamAnswers { attempt } => self.at_instance(attempt, event, Self::answer),
            Event::CallerTimeout { attempt } => self.time_out(attempt),
            Event::Retry { request } => self.send(request),
            Event::Tick => self.tick(),
            Event::Boot { instance } => self.boot(instance),
        }
    }

    /// Executes an attempt's next step; drops it if the process has crashed since, and
    /// postpones it if the process is paused.
    fn at_instance(&mut self, attempt: usize, event: Event, step: fn(&mut Self, usize)) {
        let instance = &self.instances[self.attempts[attempt].instance];
        let arriving = matches!(event, Event::Arrive { .. });
        if !arriving && self.attempts[attempt].process != instance.process {
            return;
        }
        if instance.paused_until_us > self.now_us {
            let resume_us = instance.paused_until_us;
            self.mark_affected(attempt);
            self.schedule_at(resume_us, event);
            return;
        }
        step(self, attempt);
    }

    fn start(&mut self, request: usize) {
        debug_assert_eq!(request, self.requests.len());
        self.requests.push(Request {
            key: None,
            keys: Vec::new(),
            attempts: Vec::new(),
            affected: false,
            result: None,
        });
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        if self.requests[request].result.is_some() {
            return;
        }
        if self.requests[request].attempts.len() == ATTEMPTS_MAX {
            self.give_up(request);
            return;
        }
        let members = self.believed_members();
        let instance = loop {
            let instance = self.random.random_range(0..members.len());
            if members[instance] {
                break instance;
            }
        };
        if self.requests[request].key.is_none() {
            self.mint(request, instance);
        }
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            key: self.requests[request].keys.len() - 1,
            instance,
            process: self.instances[instance].process,
            claim: None,
            unresolved: true,
            caller_waiting: true,
        });
        self.requests[request].attempts.push(attempt);
        let delay_us = self.random.random_range(500..8_000);
        self.schedule(delay_us, Event::Arrive { attempt });
        self.schedule(CALLER_TIMEOUT_US, Event::CallerTimeout { attempt });
    }

    fn mint(&mut self, request: usize, instance: usize) {
        let skew_us = self.random.random_range(0..=CLOCK_SKEW_MAX_US);
        let minted_at = SIMULATION_START + Duration::from_micros(self.now_us + skew_us);
        let random = self.random.random();
        let key = self.policy.mint(instance, minted_at, random);
        self.requests[request].key = Some(key);
        self.requests[request].keys.push(KeyState::default());
    }

    fn arrive(&mut self, attempt: usize) {
        let index = self.attempts[attempt].instance;
        if !self.instances[index].alive {
            // The connection is refused, so the caller knows that it was not run.
            self.receive_reply(attempt, Reply::Final(Outcome::NotRun));
            return;
        }
        self.attempts[attempt].process = self.instances[index].process;
        let members = self.believed_members();
        let clock_us = self.now_us + self.instances[index].skew_us;
        let view = View {
            instance: index,
            now: SIMULATION_START + Duration::from_micros(clock_us),
            members: &members,
        };
        let request = &self.requests[self.attempts[attempt].request];
        let Some(key) = request.key.clone() else {
            return; // The caller has discarded the key since.
        };
        if self.attempts[attempt].key + 1 != request.keys.len() {
            return;
        }
        match self.policy.begin(&view, &key) {
            Decision::Run(claim) => {
                self.attempts[attempt].claim = Some(claim);
                let delay_us = P::BEGIN_DELAY_US + self.random.random_range(0..2_000);
                self.schedule(delay_us, Event::Write { attempt });
            }
            Decision::Redirect(owner) => {
                self.tally.redirects += 1;
                self.attempts[attempt].instance = owner;
                let delay_us = self.random.random_range(1_000..16_000);
                self.schedule(delay_us, Event::Arrive { attempt });
            }
            Decision::Reply(reply) => self.send_reply(attempt, reply),
        }
    }

    fn write(&mut self, attempt: usize) {
        let Attempt { instance, .. } = self.attempts[attempt];
        let Some(claim) = self.attempts[attempt].claim.take() else {
            return;
        };
        self.policy.mark_written(instance, &claim);
        self.attempts[attempt].claim = Some(claim);
        self.key_state(attempt).sent += 1;
        let delay_us = self.random.random_range(1_000..20_000);
        self.schedule(delay_us, Event::UpstreamRuns { attempt });
    }

    fn upstream_runs(&mut self, attempt: usize) {
        if self.random.random_bool(self.options.connection_loss_share) {
            self.mark_affected(attempt);
            self.fail_exchange(attempt);
            return;
        }
        if self.random.random_bool(self.options.rejected_share) {
            self.key_state(attempt).sent -= 1;
            self.reject(attempt);
            return;
        }
        self.key_state(attempt).runs += 1;
        if self.random.random_bool(self.options.connection_loss_share) {
            self.mark_affected(attempt);
            self.fail_exchange(attempt);
            return;
        }
        let delay_us = self.random.random_range(1_000..5_000);
        self.schedule(delay_us, Event::UpstreamAnswers { attempt });
    }

    fn reject(&mut self, attempt: usize) {
        if self.is_same_process(attempt)
            && let Some(claim) = &self.attempts[attempt].claim
        {
            self.policy
                .mark_not_run(self.attempts[attempt].instance, claim);
            self.fail_exchange(attempt);
        }
    }

    /// Ends the exchange with the upstream without a response.
    fn fail_exchange(&mut self, attempt: usize) {
        if !self.is_same_process(attempt) {
            return;
        }
        let instance = self.attempts[attempt].instance;
        if let Some(claim) = self.attempts[attempt].claim.take() {
            let outcome = self.policy.abandon(instance, claim);
            self.send_reply(attempt, Reply::Final(outcome));
        }
    }

    fn answer(&mut self, attempt: usize) {
        let instance = self.attempts[attempt].instance;
        if let Some(claim) = self.attempts[attempt].claim.take() {
            self.policy.finish(instance, claim);
            self.send_reply(attempt, Reply::Final(Outcome::Done));
        }
    }

    /// Verifies an instance's reply and delivers it to the caller unless it is lost.
    fn send_reply(&mut self, attempt: usize, reply: Reply) {
        let key = self.key_state(attempt);
        if reply == Reply::Final(Outcome::NotRun) && key.runs + key.sent > 0 {
            self.tally.false_not_run += 1;
        }
        if self.random.random_bool(self.options.response_loss_share) {
            self.mark_affected(attempt);
            return;
        }
        self.receive_reply(attempt, reply);
    }

    fn receive_reply(&mut self, attempt: usize, reply: Reply) {
        let request = self.attempts[attempt].request;
        let is_waiting = self.attempts[attempt].caller_waiting;
        if !is_waiting || self.requests[request].result.is_some() {
            return;
        }
        self.attempts[attempt].unresolved = false;
        self.attempts[attempt].caller_waiting = false;
        match reply {
            Reply::Final(Outcome::NotRun) if !self.is_unresolved(request) => {
                // No attempt with this key is in flight, so a new key is safe.
                self.requests[request].key = None;
                self.schedule(RETRY_DELAY_US, Event::Retry { request });
            }
            Reply::Final(Outcome::NotRun) | Reply::Retry => {
                self.attempts[attempt].unresolved = reply == Reply::Retry;
                self.schedule(RETRY_DELAY_US, Event::Retry { request });
            }
            Reply::Final(outcome) => self.requests[request].result = Some(outcome),
        }
    }

    fn time_out(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if std::mem::take(&mut self.attempts[attempt].caller_waiting) {
            self.schedule(0, Event::Retry { request });
        }
    }

    fn give_up(&mut self, request: usize) {
        let outcome = if self.is_unresolved(request) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.requests[request].result = Some(outcome);
    }

    /// Returns whether, as far as its caller knows, an attempt may still run.
    fn is_unresolved(&self, request: usize) -> bool {
        let attempts = &self.requests[request].attempts;
        attempts
            .iter()
            .any(|attempt| self.attempts[*attempt].unresolved)
    }

    fn is_same_process(&self, attempt: usize) -> bool {
        let Attempt {
            instance, process, ..
        } = self.attempts[attempt];
        self.instances[instance].process == process
    }

    pub(super) fn mark_affected(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        self.requests[request].affected = true;
    }

    fn key_state(&mut self, attempt: usize) -> &mut KeyState {
        let Attempt { request, key, .. } = self.attempts[attempt];
        &mut self.requests[request].keys[key]
    }

    pub(super) fn schedule(&mut self, after_us: u64, event: Event) {
        self.schedule_at(self.now_us + after_us, event);
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn into_tally(mut self) -> Tally {
        for request in &self.requests {
            let runs: u32 = request.keys.iter().map(|key| key.runs).sum();
            self.tally.duplicated += u64::from(runs > 1);
            self.tally.affected += u64::from(request.affected);
            match request.result {
                Some(Outcome::Done) => self.tally.done += 1,
                Some(Outcome::NotRun) => {
                    self.tally.not_run += 1;
                    self.tally.false_not_run += u64::from(runs > 0);
                }
                _ => {
                    self.tally.unknown += 1;
                    self.tally.unknown_without_fault += u64::from(!request.affected);
                }
            }
        }
        self.tally.store_writes = self.policy.store_writes();
        self.tally.seconds = self.now_us as f64 / 1e6;
        self.tally
    }
}
