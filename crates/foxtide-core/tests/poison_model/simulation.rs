//! Discrete-event simulation of instances, upstreams and the store.

use crate::faults::{
    Faults,
    Strategy, //
};
use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::placement::{
    Candidate,
    ObjectKey,
    rank, //
};
use foxtide_core::poison::{
    ACKNOWLEDGEMENT_TIMEOUT,
    Acknowledgements,
    EndReport,
    Fingerprint,
    HOLD_DELAY,
    Holds,
    Origin,
    Quarantine,
    QuarantineEntry,
    QuarantineStatus,
    RETRY_DELAY,
    Served,
    StoredEntry,
    Suspects, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;

const REGIONS: usize = 3;
const INSTANCES: usize = 9;
const UPSTREAMS: usize = 12;
const OBJECTS: u64 = 138;
const ARRIVAL_INTERVAL_MS: u64 = 23;
const WORK_MS: u64 = 300;
const POISON_WORK_MS: u64 = 100;
const CALLER_RETRY_DELAY_MS: u64 = 50;
const SAME_REGION_MS: u64 = 1;
const OTHER_REGION_MS: u64 = 40;
const COPY_INTERVAL_MS: u64 = 60;
/// The interval at which a retry looks whether the end before it was acknowledged. Instances are
/// notified.
const RECHECK_INTERVAL_MS: u64 = 5;
/// The interval at which instances read changes from the store.
const FOLLOW_INTERVAL_MS: u64 = 800;
const UPSTREAM_RESTART_MS: u64 = 2_500;
const RESTART_MS: u64 = 500;
const ATTEMPTS_MAX: u32 = 2;
const DURATION_MS: u64 = 40_000;

/// The request that ends every upstream it is sent to.
const POISON: u64 = 7;

/// The start and the end of the faults.
const FAULTS_MS: (u64, u64) = (3_000, 11_000);
const KILLED_MS: u64 = 12_000;
const STORE_RESTORED_MS: u64 = 9_000;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn region(instance: usize) -> RegionId {
    format!("region-{}", instance % REGIONS).parse().unwrap()
}

fn address(instance: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], instance as u16 + 1))
}

fn delay_ms(from: usize, to: usize) -> u64 {
    if from % REGIONS == to % REGIONS {
        SAME_REGION_MS
    } else {
        OTHER_REGION_MS
    }
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: u64,
    instance: usize,
    /// The number of starts of the instance when it made the attempt.
    start: u32,
    count: u32,
    retries: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        request: u64,
        retries: bool,
    },
    Repeat(Attempt),
    /// A held attempt looks whether it may be sent.
    Resume(Attempt),
    Serve(u64),
    Message {
        to: usize,
        from: usize,
        message: Message,
    },
    Follow(usize),
    /// The acknowledgements of a report are due.
    Overdue {
        instance: usize,
        start: u32,
        report: EndReport,
    },
    /// The region holds a request of which a region has yet to acknowledge the report.
    Hold {
        instance: usize,
        start: u32,
        fingerprint: Fingerprint,
    },
    UpstreamEnds(usize),
    Kill(usize),
    Start(usize),
    StoreRestored,
}

#[derive(Clone, Debug)]
enum Message {
    End(EndReport),
    Acknowledged(Fingerprint),
    Cleared(Fingerprint),
    Quarantined(Fingerprint, QuarantineEntry),
    Held(Fingerprint),
    Lifted(Fingerprint),
}

#[derive(Debug, Default)]
struct Instance {
    is_up: bool,
    start: u32,
    suspects: Suspects,
    quarantine: Quarantine,
    acknowledgements: Acknowledgements,
    holds: Holds,
    served: Served,
    reported: BTreeSet<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: Attempt,
    upstream: usize,
    incarnation: u32,
}

impl Instance {
    /// Tells whether a request waits for the acknowledgement of an end.
    fn is_held(&self, request: u64, now: MonotonicTime) -> bool {
        let fingerprint = Fingerprint::from_hash(request);
        let is_awaited = self.acknowledgements.is_awaited(fingerprint);
        let is_held = is_awaited || self.holds.is_held(fingerprint, now);
        is_held && !self.served.contains(fingerprint)
    }
}

/// The result of one run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Sends of the poison request after three upstreams ended under it.
    pub(crate) sends_after: usize,
    /// All sends of the poison request: when, in milliseconds, and by which instance.
    pub(crate) sends: Vec<(u64, usize)>,
    /// Other requests that an instance quarantined.
    pub(crate) falsely_quarantined: BTreeSet<u64>,
    /// Other requests that were rejected as quarantined.
    pub(crate) rejected: usize,
    pub(crate) requests: usize,
}

pub(crate) struct Simulation {
    strategy: Strategy,
    faults: Faults,
    rng: fastrand::Rng,
    acknowledgement_rng: fastrand::Rng,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    candidates: Vec<Candidate>,
    incarnation: [u32; UPSTREAMS],
    down_until_ms: [u64; UPSTREAMS],
    running: BTreeMap<u64, Running>,
    instances: Vec<Instance>,
    frozen: BTreeSet<usize>,
    store: BTreeMap<Fingerprint, StoredEntry>,
    index: u64,
    era: u64,
    ended_under: BTreeSet<(usize, u32)>,
    outcome: Outcome,
}

impl Simulation {
    pub(crate) fn new(strategy: Strategy, faults: Faults, seed: u64) -> Self {
        let names = (0..UPSTREAMS).map(|number| format!("i-{seed}-{number}").parse().unwrap());
        let candidates = names.map(|name: UpstreamId| Candidate::new(&name, 1.0));
        let mut simulation = Self {
            strategy,
            faults,
            rng: fastrand::Rng::with_seed(seed),
            acknowledgement_rng: fastrand::Rng::with_seed(!seed),
            now_ms: 0,
            events: BTreeMap::new(),
            number: 0,
            candidates: candidates.collect(),
            incarnation: [0; UPSTREAMS],
            down_until_ms: [0; UPSTREAMS],
            running: BTreeMap::new(),
            instances: Vec::new(),
            frozen: BTreeSet::new(),
            store: BTreeMap::new(),
            index: 1,
            era: 0,
            ended_under: BTreeSet::new(),
            outcome: Outcome::default(),
        };
        for number in 0..INSTANCES {
            simulation.instances.push(Instance::default());
            simulation.start(number);
        }
        simulation.schedule_events();
        simulation
    }

    /// Runs all events and returns the outcome.
    pub(crate) fn run(mut self) -> Outcome {
        while let Some(((now_ms, _), event)) = self.events.pop_first() {
            if now_ms >= DURATION_MS {
                break;
            }
            self.now_ms = now_ms;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule_events(&mut self) {
        let period_ms = (ARRIVAL_INTERVAL_MS / self.faults.load).max(1);
        for ms in (0..DURATION_MS).step_by(period_ms as usize) {
            let is_poison =
                self.rng.f64() < self.faults.poison_share && ms >= self.faults.poison_from_ms;
            let request = match is_poison {
                true => POISON,
                false => 100 + self.rng.u64(..OBJECTS),
            };
            let retries = true;
            self.schedule(ms, Event::Arrive { request, retries });
        }
        if let Some(flap_ms) = self.faults.flap_ms {
            for ms in (flap_ms..DURATION_MS / 2).step_by(flap_ms as usize) {
                let upstream = self.rng.usize(..UPSTREAMS);
                self.schedule(ms, Event::UpstreamEnds(upstream));
            }
        }
        if self.faults.is_zone_lost {
            for upstream in 0..UPSTREAMS / 3 {
                self.schedule(5_000, Event::UpstreamEnds(upstream));
            }
        }
        if self.faults.is_rolling {
            for number in 0..INSTANCES {
                let ms = FAULTS_MS.0 + number as u64 * 500;
                self.schedule(ms, Event::Kill(number));
            }
        }
        if self.faults.is_store_restored {
            self.schedule(STORE_RESTORED_MS, Event::StoreRestored);
        }
        if self.faults.are_all_killed || self.faults.is_store_restored {
            for number in 0..INSTANCES {
                self.schedule(KILLED_MS, Event::Kill(number));
            }
        }
        let frozen = (INSTANCES as f64 * self.faults.frozen_share) as usize;
        while self.frozen.len() < frozen {
            self.frozen.insert(self.rng.usize(..INSTANCES));
        }
    }

    fn schedule(&mut self, ms: u64, event: Event) {
        self.number += 1;
        self.events.insert((ms, self.number), event);
    }

    fn are_faults_active(&self) -> bool {
        (FAULTS_MS.0..FAULTS_MS.1).contains(&self.now_ms)
    }

    fn is_frozen(&self, instance: usize) -> bool {
        self.are_faults_active() && self.frozen.contains(&instance)
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let partition = self.faults.partition;
        !self.are_faults_active() || partition.connects(from % REGIONS, to % REGIONS)
    }

    fn reaches_store(&self, instance: usize) -> bool {
        let is_cut = !self.faults.partition.reaches_store(instance % REGIONS);
        !self.are_faults_active() || !(self.faults.is_store_down || is_cut)
    }

    fn handle(&mut self, event: Event) {
        // Events of a frozen instance are delayed until it runs again.
        let instance = match &event {
            Event::Repeat(attempt) | Event::Resume(attempt) => Some(attempt.instance),
            Event::Message { to, .. } => Some(*to),
            Event::Follow(instance)
            | Event::Overdue { instance, .. }
            | Event::Hold { instance, .. } => Some(*instance),
            _ => None,
        };
        if instance.is_some_and(|instance| self.is_frozen(instance)) {
            self.schedule(FAULTS_MS.1, event);
            return;
        }
        match event {
            Event::Arrive { request, retries } => self.arrive(request, retries),
            Event::Repeat(attempt) => self.repeat(attempt),
            Event::Resume(attempt) => self.send(attempt),
            Event::Serve(number) => self.serve(number),
            Event::Message { to, from, message } => self.receive(to, from, message),
            Event::Follow(instance) => self.follow(instance),
            Event::Overdue {
                instance,
                start,
                report,
            } => self.expire(instance, start, report),
            Event::Hold {
                instance,
                start,
                fingerprint,
            } => self.hold_in_region(instance, start, fingerprint),
            Event::UpstreamEnds(upstream) => self.upstream_ends(upstream),
            Event::Kill(instance) => self.kill(instance),
            Event::Start(instance) => self.start(instance),
            Event::StoreRestored => {
                self.store.clear();
                self.era += 1;
            }
        }
    }

    fn kill(&mut self, instance: usize) {
        self.instances[instance].is_up = false;
        let start = self.instances[instance].start;
        self.running
            .retain(|_, one| one.attempt.instance != instance || one.attempt.start != start);
        self.schedule(self.now_ms + RESTART_MS, Event::Start(instance));
    }

    /// Starts an instance once it has read the store or, if that is unreachable, the quarantine
    /// of a peer.
    fn start(&mut self, instance: usize) {
        let peer = (0..INSTANCES).find(|&peer| {
            self.instances
                .get(peer)
                .is_some_and(|one| one.is_up && !self.is_frozen(peer))
                && self.is_connected(peer, instance)
                && self.is_connected(instance, peer)
        });
        let reaches_store = self.reaches_store(instance);
        if !reaches_store && peer.is_none() {
            self.schedule(self.now_ms + 400, Event::Start(instance));
            return;
        }
        let start = self.instances[instance].start + 1;
        let mut new = Instance {
            is_up: true,
            start,
            suspects: Suspects::new(self.strategy.evidence),
            ..Instance::default()
        };
        if !reaches_store && let Some(peer) = peer {
            new.quarantine = self.instances[peer].quarantine.clone();
        }
        self.instances[instance] = new;
        self.read_store(instance, false);
        let next_ms = self.now_ms + self.rng.u64(1..FOLLOW_INTERVAL_MS);
        self.schedule(next_ms, Event::Follow(instance));
    }

    fn read_store(&mut self, instance: usize, is_restored: bool) {
        if !self.strategy.has_store || !self.reaches_store(instance) {
            return;
        }
        let stored: Vec<StoredEntry> = self.store.values().copied().collect();
        let draw = self.rng.f64();
        let now = at(self.now_ms);
        let target = &mut self.instances[instance];
        target
            .quarantine
            .sync_stored(&stored, is_restored, draw, now);
        let due = target.quarantine.next_write(now);
        if let Some((fingerprint, entry)) = due {
            self.write(instance, fingerprint, entry);
        }
    }

    fn follow(&mut self, instance: usize) {
        if self.instances[instance].is_up {
            let is_restored =
                self.era > 0 && self.now_ms < STORE_RESTORED_MS + 2 * FOLLOW_INTERVAL_MS;
            self.read_store(instance, is_restored);
            self.schedule(self.now_ms + FOLLOW_INTERVAL_MS, Event::Follow(instance));
        }
    }

    fn write(&mut self, instance: usize, fingerprint: Fingerprint, entry: QuarantineEntry) {
        if !self.strategy.has_store || !self.reaches_store(instance) {
            return;
        }
        if !self.store.contains_key(&fingerprint) {
            self.index += 1;
            let stored = StoredEntry {
                fingerprint,
                entry,
                index: StoreIndex::new(self.index),
            };
            self.store.insert(fingerprint, stored);
        }
    }

    fn arrive(&mut self, request: u64, retries: bool) {
        let up: Vec<usize> = (0..INSTANCES)
            .filter(|&instance| self.instances[instance].is_up)
            .collect();
        if up.is_empty() {
            return;
        }
        self.outcome.requests += usize::from(retries);
        let instance = up[self.rng.usize(..up.len())];
        let attempt = Attempt {
            request,
            instance,
            start: self.instances[instance].start,
            count: 0,
            retries,
        };
        if self.is_frozen(instance) {
            self.schedule(FAULTS_MS.1, Event::Repeat(attempt));
        } else {
            self.send(attempt);
        }
    }

    /// Returns whether an instance may send a request; claims its trial if one is due.
    fn may_send(&mut self, request: u64, instance: usize) -> bool {
        let fingerprint = Fingerprint::from_hash(request);
        let now = at(self.now_ms);
        let draw = self.rng.f64();
        let reaches_store = self.reaches_store(instance);
        let quarantine = &mut self.instances[instance].quarantine;
        match quarantine.status(fingerprint, now) {
            QuarantineStatus::NotQuarantined => return true,
            QuarantineStatus::Quarantined(_) => return false,
            QuarantineStatus::TrialDue => {}
        }
        let Some(trial) = quarantine.next_trial(fingerprint, now) else {
            return false;
        };
        quarantine.claim(&trial, draw, now);
        let stored = self.store.get(&fingerprint).map(|stored| stored.index);
        if !reaches_store || stored != Some(trial.index) {
            return false;
        }
        self.index += 1;
        let index = StoreIndex::new(self.index);
        self.store
            .insert(fingerprint, StoredEntry { index, ..trial });
        true
    }

    /// Retries once all regions have acknowledged the end before.
    fn repeat(&mut self, attempt: Attempt) {
        let instance = &self.instances[attempt.instance];
        let fingerprint = Fingerprint::from_hash(attempt.request);
        let is_same_start = instance.is_up && instance.start == attempt.start;
        if is_same_start && instance.acknowledgements.is_awaited(fingerprint) {
            let due_ms = self.now_ms + RECHECK_INTERVAL_MS;
            self.schedule(due_ms, Event::Repeat(attempt));
        } else if is_same_start && self.claim_retry(attempt.instance, fingerprint) {
            self.send_permitted(attempt);
        } else {
            self.send(attempt);
        }
    }

    /// Claims the retry of a request that an isolated instance quarantined; returns whether it may
    /// be sent.
    fn claim_retry(&mut self, instance: usize, fingerprint: Fingerprint) -> bool {
        let now = at(self.now_ms);
        let draw = self.rng.f64();
        let quarantine = &mut self.instances[instance].quarantine;
        let Some(stored) = quarantine.take_retry(fingerprint) else {
            return false;
        };
        if !self.reaches_store(instance) {
            return self.strategy.retries_without_store;
        }
        let quarantine = &mut self.instances[instance].quarantine;
        if self.store.contains_key(&fingerprint) {
            return false;
        }
        quarantine.record_retry(&stored, draw, now);
        self.write(instance, fingerprint, stored.entry);
        true
    }

    fn send(&mut self, attempt: Attempt) {
        let instance = &self.instances[attempt.instance];
        if !instance.is_up || instance.start != attempt.start {
            return;
        }
        if instance.is_held(attempt.request, at(self.now_ms)) {
            let due_ms = self.now_ms + RECHECK_INTERVAL_MS;
            self.schedule(due_ms, Event::Resume(attempt));
            return;
        }
        if !self.may_send(attempt.request, attempt.instance) {
            self.outcome.rejected += usize::from(attempt.request != POISON);
            return;
        }
        self.send_permitted(attempt);
    }

    fn send_permitted(&mut self, attempt: Attempt) {
        let object = ObjectKey::new(&attempt.request.to_le_bytes());
        let order = rank(object, &self.candidates);
        let alive = |upstream: &usize| self.down_until_ms[*upstream] <= self.now_ms;
        let Some(upstream) = order.into_iter().find(alive) else {
            return;
        };
        let is_poison = attempt.request == POISON;
        if is_poison {
            self.outcome.sends.push((self.now_ms, attempt.instance));
            self.outcome.sends_after += usize::from(self.ended_under.len() >= 3);
        }
        self.number += 1;
        let number = self.number;
        let incarnation = self.incarnation[upstream];
        self.running.insert(
            number,
            Running {
                attempt,
                upstream,
                incarnation,
            },
        );
        let work_ms = if is_poison { POISON_WORK_MS } else { WORK_MS };
        self.schedule(self.now_ms + work_ms, Event::Serve(number));
    }

    fn serve(&mut self, number: u64) {
        let Some(running) = self.running.get(&number).copied() else {
            return;
        };
        if running.attempt.request == POISON {
            self.ended_under
                .insert((running.upstream, running.incarnation));
            self.upstream_ends(running.upstream);
            return;
        }
        self.running.remove(&number);
        let Attempt {
            request, instance, ..
        } = running.attempt;
        let fingerprint = Fingerprint::from_hash(request);
        let target = &mut self.instances[instance];
        target.acknowledgements.forget(fingerprint);
        target.served.record(fingerprint);
        let was_quarantined = target.quarantine.release(fingerprint);
        self.lift_in_region(instance, fingerprint);
        if was_quarantined && self.reaches_store(instance) {
            self.store.remove(&fingerprint);
        }
        if self.instances[instance].reported.remove(&request) || was_quarantined {
            self.send_to_aggregators(instance, request, &Message::Cleared(fingerprint));
        }
    }

    /// Ends an upstream and breaks its running requests.
    fn upstream_ends(&mut self, upstream: usize) {
        let incarnation = self.incarnation[upstream];
        self.incarnation[upstream] += 1;
        self.down_until_ms[upstream] = self.now_ms + UPSTREAM_RESTART_MS;
        let affected = self.running.extract_if(.., |_, one| {
            one.upstream == upstream && one.incarnation == incarnation
        });
        let broken: Vec<Attempt> = affected.map(|(_, one)| one.attempt).collect();
        for attempt in &broken {
            self.record_end(attempt, upstream, incarnation);
            let repeat = Attempt {
                count: attempt.count + 1,
                ..*attempt
            };
            if repeat.count < ATTEMPTS_MAX {
                let wait_ms = RETRY_DELAY.as_millis() as u64;
                self.schedule(self.now_ms + wait_ms, Event::Repeat(repeat));
            } else if attempt.retries {
                self.schedule(
                    self.now_ms + CALLER_RETRY_DELAY_MS,
                    Event::Arrive {
                        request: attempt.request,
                        retries: false,
                    },
                );
            }
        }
    }

    fn record_end(&mut self, attempt: &Attempt, upstream: usize, incarnation: u32) {
        let Attempt {
            request, instance, ..
        } = *attempt;
        if !self.instances[instance].is_up || self.instances[instance].start != attempt.start {
            return;
        }
        let fingerprint = Fingerprint::from_hash(request);
        let name: UpstreamId = format!("i-{upstream}").parse().unwrap();
        self.instances[instance].reported.insert(request);
        let aggregators = self.aggregators(request).into_iter();
        let others = aggregators.filter(|&to| to != instance);
        let expected = others.map(|to| (address(to), region(to))).collect();
        let now = at(self.now_ms);
        let target = &mut self.instances[instance];
        let is_region_silent = target.acknowledgements.expect(fingerprint, expected, now);
        let is_isolated = is_region_silent && !target.served.contains(fingerprint);
        let report = EndReport {
            fingerprint,
            upstream: name,
            born_at: Some(WallTime::from_ms(incarnation.into())),
            is_isolated,
        };
        self.send_to_aggregators(instance, request, &Message::End(report.clone()));
        self.aggregate(instance, instance, &report);
        let start = attempt.start;
        let hold = Event::Hold {
            instance,
            start,
            fingerprint,
        };
        self.schedule(self.now_ms + HOLD_DELAY.as_millis() as u64, hold);
        let due_ms = self.now_ms + ACKNOWLEDGEMENT_TIMEOUT.as_millis() as u64;
        self.schedule(
            due_ms,
            Event::Overdue {
                instance,
                start,
                report,
            },
        );
    }

    /// Makes the region hold a request if a region has yet to acknowledge an end under it.
    fn hold_in_region(&mut self, instance: usize, start: u32, fingerprint: Fingerprint) {
        let one = &self.instances[instance];
        let is_same_start = one.is_up && one.start == start;
        let is_awaited = one.acknowledgements.is_awaited(fingerprint);
        if is_same_start && is_awaited && !one.served.contains(fingerprint) {
            self.send_to_region(instance, &Message::Held(fingerprint));
        }
    }

    /// Ends the hold of a request in the region, if there is one.
    fn lift_in_region(&mut self, instance: usize, fingerprint: Fingerprint) {
        if self.instances[instance].holds.lift(fingerprint) {
            self.send_to_region(instance, &Message::Lifted(fingerprint));
        }
    }

    /// Reports an end again if a region has not acknowledged it.
    fn expire(&mut self, instance: usize, start: u32, report: EndReport) {
        let now = at(self.now_ms);
        let target = &mut self.instances[instance];
        if !target.is_up || target.start != start {
            return;
        }
        let missing = target.acknowledgements.expire(report.fingerprint, now);
        if missing.is_empty() {
            return;
        }
        if target.served.contains(report.fingerprint) {
            self.lift_in_region(instance, report.fingerprint);
            return;
        }
        let isolated = EndReport {
            is_isolated: true,
            ..report
        };
        let request = isolated.fingerprint.hash();
        self.send_to_aggregators(instance, request, &Message::End(isolated.clone()));
        self.aggregate(instance, instance, &isolated);
    }

    /// Returns the aggregators of a request in all regions.
    fn aggregators(&self, request: u64) -> Vec<usize> {
        let aggregator = |region: usize, number: usize| {
            let of_region = INSTANCES / REGIONS;
            region + REGIONS * ((request as usize + number) % of_region)
        };
        let numbers = (0..self.strategy.aggregators).collect::<Vec<_>>();
        let of_regions = (0..REGIONS).flat_map(|region| {
            numbers
                .iter()
                .map(move |&number| aggregator(region, number))
                .collect::<Vec<_>>()
        });
        of_regions.collect()
    }

    fn send_to_aggregators(&mut self, from: usize, request: u64, message: &Message) {
        for to in self.aggregators(request) {
            self.send_message(from, to, message);
        }
    }

    /// Acknowledges a report, with the quarantine entry if there is one. Losses are drawn apart, so
    /// that the other draws stay as they are.
    fn acknowledge(&mut self, from: usize, to: usize, fingerprint: Fingerprint) {
        let is_lost = self.acknowledgement_rng.f64() < self.faults.loss;
        if is_lost || !self.is_connected(from, to) {
            return;
        }
        let entry = self.instances[from].quarantine.entry(fingerprint);
        let quarantined = entry.map(|entry| Message::Quarantined(fingerprint, entry));
        let acknowledged = Message::Acknowledged(fingerprint);
        for message in [Some(acknowledged), quarantined].into_iter().flatten() {
            let due_ms = self.now_ms + delay_ms(from, to);
            self.schedule(due_ms, Event::Message { to, from, message });
        }
    }

    fn send_message(&mut self, from: usize, to: usize, message: &Message) {
        let delay_ms = delay_ms(from, to);
        for copy in 0..u64::from(self.strategy.copies) {
            let is_lost = from != to && self.rng.f64() < self.faults.loss;
            if !is_lost && self.is_connected(from, to) {
                let message = message.clone();
                let due_ms = self.now_ms + delay_ms + copy * COPY_INTERVAL_MS;
                self.schedule(due_ms, Event::Message { to, from, message });
            }
        }
    }

    fn receive(&mut self, to: usize, from: usize, message: Message) {
        if !self.instances[to].is_up {
            return;
        }
        let draw = self.rng.f64();
        let now = at(self.now_ms);
        match message {
            Message::End(report) => {
                if from != to {
                    self.acknowledge(to, from, report.fingerprint);
                }
                self.aggregate(to, from, &report);
            }
            Message::Acknowledged(fingerprint) => {
                let acknowledgements = &mut self.instances[to].acknowledgements;
                if acknowledgements.acknowledge(fingerprint, address(from)) {
                    self.lift_in_region(to, fingerprint);
                }
            }
            Message::Cleared(fingerprint) => {
                self.instances[to].suspects.clear(fingerprint);
                self.instances[to].quarantine.release_isolated(fingerprint);
            }
            Message::Held(fingerprint) => self.instances[to].holds.hold(fingerprint, now),
            Message::Lifted(fingerprint) => {
                self.instances[to].holds.lift(fingerprint);
            }
            Message::Quarantined(fingerprint, entry) => {
                self.instances[to].holds.lift(fingerprint);
                let quarantine = &mut self.instances[to].quarantine;
                quarantine.merge(fingerprint, entry, Origin::Peer, draw, now);
            }
        }
    }

    fn aggregate(&mut self, instance: usize, from: usize, report: &EndReport) {
        let now = at(self.now_ms);
        let draw = self.rng.f64();
        let target = &mut self.instances[instance];
        let Some(ends) = target.suspects.report(report, now) else {
            return;
        };
        let fingerprint = report.fingerprint;
        let entry = QuarantineEntry { ends, trials: 0 };
        // The reporter of an isolated end claims its retry with the first write.
        let is_evidence = ends as usize >= self.strategy.evidence.end_threshold;
        let origin = match is_evidence || from == instance {
            true => Origin::Own,
            false => Origin::Peer,
        };
        target
            .quarantine
            .merge(fingerprint, entry, origin, draw, now);
        if fingerprint != Fingerprint::from_hash(POISON) {
            self.outcome.falsely_quarantined.insert(fingerprint.hash());
        }
        if is_evidence {
            self.write(instance, fingerprint, entry);
        }
        self.send_to_region(instance, &Message::Quarantined(fingerprint, entry));
    }

    fn send_to_region(&mut self, from: usize, message: &Message) {
        for to in (0..INSTANCES).filter(|to| to % REGIONS == from % REGIONS) {
            self.send_message(from, to, message);
        }
    }
}
