//! A fleet in simulated time, with faults at every step of a request.

use super::faults::{
    FaultOptions,
    Tally, //
};
use super::policy::{
    Decision,
    Policy,
    Told,
    View, //
};
use super::state::{
    Copy,
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

/// How often time is let pass.
pub(super) const TICK_US: u64 = 100_000;

/// How long it takes until all know that a process died or started.
pub(super) const MEMBERSHIP_LAG_US: u64 = 1_000_000;

/// When simulated time starts.
pub(super) const START: WallTime = WallTime::from_ms(1_800_000_000_000);

const SEED: u64 = 6_007;
const COPIES_MAX: usize = 6;
const CALLER_TIMEOUT_US: u64 = 500_000;
const RETRY_US: u64 = 200_000;
const SKEW_MAX_US: u64 = 250_000;

/// The fleet, its callers and its upstreams.
pub(super) struct Fleet<P: Policy> {
    pub(super) policy: P,
    pub(super) options: FaultOptions,
    pub(super) random: StdRng,
    pub(super) now_us: u64,
    pub(super) events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub(super) scheduled: u64,
    pub(super) instances: Vec<Instance>,
    pub(super) requests: Vec<Request<P::Key>>,
    pub(super) copies: Vec<Copy<P::Claim>>,
    pub(super) tally: Tally,
}

impl<P: Policy> Fleet<P> {
    /// Returns a fleet whose requests have not come yet.
    pub(super) fn new(policy: P, options: FaultOptions) -> Self {
        let mut random = StdRng::seed_from_u64(SEED);
        let instances = (0..options.instances).map(|_| Instance {
            process: 0,
            alive: true,
            changed_us: 0,
            paused_until_us: 0,
            skew_us: random.random_range(0..=SKEW_MAX_US),
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
            copies: Vec::new(),
            tally: Tally::default(),
        };
        let gap_us = 1_000_000 / options.rate_rps;
        // Membership is settled before the first request.
        let begin_us = 2 * MEMBERSHIP_LAG_US;
        for request in 0..options.requests {
            fleet.schedule_at(begin_us + request as u64 * gap_us, Event::Start { request });
        }
        fleet.schedule(TICK_US, Event::Tick);
        fleet
    }

    /// Runs all requests to their end.
    pub(super) fn run(mut self) -> Tally {
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            self.now_us = at_us;
            self.happen(event);
        }
        self.close()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Start { request } => self.start(request),
            Event::Arrive { copy } => self.at_instance(copy, event, Self::arrive),
            Event::Write { copy } => self.at_instance(copy, event, Self::write),
            Event::UpstreamRuns { copy } => self.upstream_runs(copy),
            Event::UpstreamAnswers { copy } => self.at_instance(copy, event, Self::answer),
            Event::CallerTimeout { copy } => self.time_out(copy),
            Event::Retry { request } => self.send(request),
            Event::Tick => self.tick(),
            Event::Boot { instance } => self.boot(instance),
        }
    }

    /// Does a copy's next step unless its process is gone or paused.
    fn at_instance(&mut self, copy: usize, event: Event, step: fn(&mut Self, usize)) {
        let instance = &self.instances[self.copies[copy].instance];
        let arriving = matches!(event, Event::Arrive { .. });
        if !arriving && self.copies[copy].process != instance.process {
            return;
        }
        if instance.paused_until_us > self.now_us {
            let awake_us = instance.paused_until_us;
            self.touch(copy);
            self.schedule_at(awake_us, event);
            return;
        }
        step(self, copy);
    }

    fn start(&mut self, request: usize) {
        debug_assert_eq!(request, self.requests.len());
        self.requests.push(Request {
            key: None,
            keys: Vec::new(),
            copies: Vec::new(),
            touched: false,
            result: None,
        });
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        if self.requests[request].result.is_some() {
            return;
        }
        if self.requests[request].copies.len() == COPIES_MAX {
            self.give_up(request);
            return;
        }
        let members = self.members();
        let instance = loop {
            let instance = self.random.random_range(0..members.len());
            if members[instance] {
                break instance;
            }
        };
        if self.requests[request].key.is_none() {
            self.mint(request, instance);
        }
        let copy = self.copies.len();
        self.copies.push(Copy {
            request,
            key: self.requests[request].keys.len() - 1,
            instance,
            process: self.instances[instance].process,
            claim: None,
            unresolved: true,
            waited_for: true,
        });
        self.requests[request].copies.push(copy);
        let way_us = self.random.random_range(500..8_000);
        self.schedule(way_us, Event::Arrive { copy });
        self.schedule(CALLER_TIMEOUT_US, Event::CallerTimeout { copy });
    }

    fn mint(&mut self, request: usize, instance: usize) {
        let skew_us = self.random.random_range(0..=SKEW_MAX_US);
        let minted_at = START + Duration::from_micros(self.now_us + skew_us);
        let random = self.random.random();
        let key = self.policy.mint(instance, minted_at, random);
        self.requests[request].key = Some(key);
        self.requests[request].keys.push(KeyState::default());
    }

    fn arrive(&mut self, copy: usize) {
        let index = self.copies[copy].instance;
        if !self.instances[index].alive {
            // The connection is refused: this copy was not sent.
            self.tell(copy, Told::Final(Outcome::NotRun));
            return;
        }
        self.copies[copy].process = self.instances[index].process;
        let members = self.members();
        let skewed_us = self.now_us + self.instances[index].skew_us;
        let view = View {
            instance: index,
            now: START + Duration::from_micros(skewed_us),
            members: &members,
        };
        let request = &self.requests[self.copies[copy].request];
        let Some(key) = request.key.clone() else {
            return; // The caller took another key since.
        };
        if self.copies[copy].key + 1 != request.keys.len() {
            return;
        }
        match self.policy.begin(&view, &key) {
            Decision::Run(claim) => {
                self.copies[copy].claim = Some(claim);
                let gap_us = P::BEGIN_DELAY_US + self.random.random_range(0..2_000);
                self.schedule(gap_us, Event::Write { copy });
            }
            Decision::Redirect(owner) => {
                self.tally.redirects += 1;
                self.copies[copy].instance = owner;
                let way_us = self.random.random_range(1_000..16_000);
                self.schedule(way_us, Event::Arrive { copy });
            }
            Decision::Tell(told) => self.check_and_tell(copy, told),
        }
    }

    fn write(&mut self, copy: usize) {
        let Copy { instance, .. } = self.copies[copy];
        let Some(claim) = self.copies[copy].claim.take() else {
            return;
        };
        self.policy.written(instance, &claim);
        self.copies[copy].claim = Some(claim);
        self.key_state(copy).sent += 1;
        let way_us = self.random.random_range(1_000..20_000);
        self.schedule(way_us, Event::UpstreamRuns { copy });
    }

    fn upstream_runs(&mut self, copy: usize) {
        if self.random.random_bool(self.options.broken_share) {
            self.touch(copy);
            self.lose(copy);
            return;
        }
        if self.random.random_bool(self.options.refused_share) {
            self.key_state(copy).sent -= 1;
            self.refuse(copy);
            return;
        }
        self.key_state(copy).runs += 1;
        if self.random.random_bool(self.options.broken_share) {
            self.touch(copy);
            self.lose(copy);
            return;
        }
        let way_us = self.random.random_range(1_000..5_000);
        self.schedule(way_us, Event::UpstreamAnswers { copy });
    }

    fn refuse(&mut self, copy: usize) {
        if self.same_process(copy)
            && let Some(claim) = &self.copies[copy].claim
        {
            self.policy
                .proved_not_run(self.copies[copy].instance, claim);
            self.lose(copy);
        }
    }

    /// The exchange with the upstream ends without an answer.
    fn lose(&mut self, copy: usize) {
        if !self.same_process(copy) {
            return;
        }
        let instance = self.copies[copy].instance;
        if let Some(claim) = self.copies[copy].claim.take() {
            let outcome = self.policy.abandon(instance, claim);
            self.check_and_tell(copy, Told::Final(outcome));
        }
    }

    fn answer(&mut self, copy: usize) {
        let instance = self.copies[copy].instance;
        if let Some(claim) = self.copies[copy].claim.take() {
            self.policy.finish(instance, claim);
            self.check_and_tell(copy, Told::Final(Outcome::Done));
        }
    }

    /// Checks what an instance says, and tells it unless the answer is lost.
    fn check_and_tell(&mut self, copy: usize, told: Told) {
        let key = self.key_state(copy);
        if told == Told::Final(Outcome::NotRun) && key.runs + key.sent > 0 {
            self.tally.false_not_run += 1;
        }
        if self.random.random_bool(self.options.lost_share) {
            self.touch(copy);
            return;
        }
        self.tell(copy, told);
    }

    fn tell(&mut self, copy: usize, told: Told) {
        let request = self.copies[copy].request;
        let listening = self.copies[copy].waited_for;
        if !listening || self.requests[request].result.is_some() {
            return;
        }
        self.copies[copy].unresolved = false;
        self.copies[copy].waited_for = false;
        match told {
            Told::Final(Outcome::NotRun) if !self.is_unresolved(request) => {
                // Nothing of this key is under way: another may be used.
                self.requests[request].key = None;
                self.schedule(RETRY_US, Event::Retry { request });
            }
            Told::Final(Outcome::NotRun) | Told::TryAgain => {
                self.copies[copy].unresolved = told == Told::TryAgain;
                self.schedule(RETRY_US, Event::Retry { request });
            }
            Told::Final(outcome) => self.requests[request].result = Some(outcome),
        }
    }

    fn time_out(&mut self, copy: usize) {
        let request = self.copies[copy].request;
        if std::mem::take(&mut self.copies[copy].waited_for) {
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

    /// Tells whether a copy of the request may still run, for all that its
    /// caller knows.
    fn is_unresolved(&self, request: usize) -> bool {
        let copies = &self.requests[request].copies;
        copies.iter().any(|copy| self.copies[*copy].unresolved)
    }

    fn same_process(&self, copy: usize) -> bool {
        let Copy {
            instance, process, ..
        } = self.copies[copy];
        self.instances[instance].process == process
    }

    pub(super) fn touch(&mut self, copy: usize) {
        let request = self.copies[copy].request;
        self.requests[request].touched = true;
    }

    fn key_state(&mut self, copy: usize) -> &mut KeyState {
        let Copy { request, key, .. } = self.copies[copy];
        &mut self.requests[request].keys[key]
    }

    pub(super) fn schedule(&mut self, after_us: u64, event: Event) {
        self.schedule_at(self.now_us + after_us, event);
    }

    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn close(mut self) -> Tally {
        for request in &self.requests {
            let runs: u32 = request.keys.iter().map(|key| key.runs).sum();
            self.tally.doubled += u64::from(runs > 1);
            self.tally.touched += u64::from(request.touched);
            match request.result {
                Some(Outcome::Done) => self.tally.done += 1,
                Some(Outcome::NotRun) => {
                    self.tally.not_run += 1;
                    self.tally.false_not_run += u64::from(runs > 0);
                }
                _ => {
                    self.tally.unknown += 1;
                    self.tally.unknown_untouched += u64::from(!request.touched);
                }
            }
        }
        self.tally.store_writes = self.policy.store_writes();
        self.tally.seconds = self.now_us as f64 / 1e6;
        self.tally
    }
}
