//! Simulates a fleet of ten instances on virtual time.
//!
//! Reports are delivered with a delay, requests arrive at random, and the
//! upstreams of a region are either healthy or not.

use super::decider::{
    Attempt,
    Decider, //
};
use super::fixture::{
    REGIONS,
    SERVICES,
    region, //
};
use super::node::{
    Node,
    PeerReport,
    PendingRequest, //
};
use super::poisson::poisson;
use super::scenario::{
    Event,
    Scenario, //
};
use super::tally::Tally;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
    Admission,
    InstanceReport,
    SteeringOptions, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::Share;
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The duration of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 100;

/// The steps between two reports, and between two views, of one instance.
const REPORT_EVERY: u64 = 5;

/// The number of instances in each region.
const INSTANCES: [usize; REGIONS.len()] = [4, 3, 3];

/// A report in transit.
struct InFlight {
    to: usize,
    from: usize,
    arrives_ms: u64,
    made_ms: u64,
    report: Arc<InstanceReport>,
}

/// A new or waiting request at an instance.
struct Arrival {
    at_us: u64,
    index: usize,
    request: PendingRequest,
}

/// The instances, their network and their callers.
pub(crate) struct Fleet<D> {
    scenario: Scenario,
    options: SteeringOptions,
    nodes: Vec<Node<D>>,
    in_flight: Vec<InFlight>,
    /// Keyed by arrival time in microseconds, then by insertion order.
    arrivals: BTreeMap<(u64, u64), Arrival>,
    arrivals_added: u64,
    healthy: [bool; REGIONS.len()],
    partitioned: [bool; REGIONS.len()],
    reports_lost: bool,
    burst: [f64; REGIONS.len()],
    shedding: [bool; REGIONS.len()],
    newest: Arc<Organisation>,
    services: Vec<ServiceId>,
    regions: Vec<RegionId>,
    rng: StdRng,
    now_ms: u64,
    tally: Tally,
}

impl<D: Decider> Fleet<D> {
    /// Runs a scenario and returns its tally.
    pub(crate) fn run(scenario: Scenario, options: SteeringOptions) -> Tally {
        let steps = scenario.length_ms / STEP_MS;
        let mut fleet = Self::new(scenario, options);
        for step in 0..steps {
            fleet.now_ms = step * STEP_MS;
            fleet.apply_due_events();
            fleet.exchange_reports(step);
            fleet.tick(step);
            fleet.process_arrivals();
            fleet.record_shares();
        }
        fleet.tally
    }

    fn new(scenario: Scenario, options: SteeringOptions) -> Self {
        let organisation = Arc::new(scenario.organisation.clone());
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let regions: Vec<RegionId> = REGIONS.iter().map(|name| region(name)).collect();
        let mut nodes = Vec::new();
        for (region_index, count) in INSTANCES.iter().enumerate() {
            for _ in 0..*count {
                let decider = D::start(&organisation, &regions[region_index], &options);
                let skew_ms = rng.random_range(0..=500);
                nodes.push(Node::new(
                    region_index,
                    decider,
                    skew_ms,
                    rng.random_range(0.5..1.5),
                ));
            }
        }
        let tally = Tally::new(&scenario);
        let names = SERVICES
            .iter()
            .map(|name| name.parse().expect("a service's name"));
        Self {
            options,
            nodes,
            in_flight: Vec::new(),
            arrivals: BTreeMap::new(),
            arrivals_added: 0,
            healthy: [true; REGIONS.len()],
            partitioned: [false; REGIONS.len()],
            reports_lost: false,
            burst: [1.0; REGIONS.len()],
            shedding: [false; REGIONS.len()],
            newest: organisation,
            services: names.collect(),
            regions,
            rng,
            now_ms: 0,
            tally,
            scenario,
        }
    }

    fn apply_due_events(&mut self) {
        let due = |event: &&(u64, Event)| event.0 == self.now_ms;
        let events: Vec<Event> = self
            .scenario
            .events
            .iter()
            .filter(due)
            .map(|e| e.1.clone())
            .collect();
        for event in events {
            self.apply(event);
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Stop(node) => self.nodes[node].stop(self.now_ms),
            Event::Start(node) => self.start(node),
            Event::Pause(node, for_ms) => self.nodes[node].paused_until_ms = self.now_ms + for_ms,
            Event::Health(region_index, healthy) => self.set_health(region_index, healthy),
            Event::Partition(region_index, is_partitioned) => {
                self.partitioned[region_index] = is_partitioned
            }
            Event::ReportLoss(reports_lost) => self.reports_lost = reports_lost,
            Event::Burst(region_index, factor) => self.burst[region_index] = factor,
            Event::Shed(region_index, shedding) => self.shedding[region_index] = shedding,
            Event::Skew(node, weight) => self.nodes[node].demand_weight = weight,
            Event::Configure(organisation) => self.configure(&organisation),
        }
    }

    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let region = &self.regions[node.region];
        node.decider = D::start(&self.newest, region, &self.options);
        node.started_ms = self.now_ms;
        node.up = true;
        node.known.clear();
        node.pending_configurations.clear();
        let now_ms = self.now_ms;
        let healthy = self.healthy.iter().enumerate();
        let seen =
            healthy.map(|(region_index, healthy)| (now_ms + 300, region_index, health(*healthy)));
        node.pending_health = seen.collect();
    }

    fn set_health(&mut self, region_index: usize, healthy: bool) {
        self.healthy[region_index] = healthy;
        for node in &mut self.nodes {
            let at_ms = self.now_ms + self.rng.random_range(0..1_500);
            node.pending_health
                .push((at_ms, region_index, health(healthy)));
        }
    }

    fn configure(&mut self, organisation: &Arc<Organisation>) {
        self.newest = Arc::clone(organisation);
        for node in &mut self.nodes {
            let at_ms = self.now_ms + self.rng.random_range(0..2_000);
            node.pending_configurations
                .push((at_ms, Arc::clone(organisation)));
        }
    }

    /// Publishes due reports and delivers those that have arrived.
    fn exchange_reports(&mut self, step: u64) {
        for from in 0..self.nodes.len() {
            if is_due(step, from) && self.nodes[from].runs(self.now_ms) {
                self.publish(from);
            }
        }
        let now_ms = self.now_ms;
        let (arrived, left): (Vec<_>, Vec<_>) = self
            .in_flight
            .drain(..)
            .partition(|sent| sent.arrives_ms <= now_ms);
        self.in_flight = left;
        for sent in arrived {
            let node = &mut self.nodes[sent.to];
            let newer = node
                .known
                .get(&sent.from)
                .is_none_or(|known| known.made_ms < sent.made_ms);
            if newer && node.runs(now_ms) && sent.made_ms >= node.started_ms {
                let known = PeerReport {
                    made_ms: sent.made_ms,
                    report: sent.report,
                };
                node.known.insert(sent.from, known);
            }
        }
    }

    fn publish(&mut self, from: usize) {
        let now = self.nodes[from].now(self.now_ms);
        let report = Arc::new(self.nodes[from].decider.report(now));
        for to in 0..self.nodes.len() {
            let (a, b) = (self.nodes[from].region, self.nodes[to].region);
            let is_partitioned = a != b && (self.partitioned[a] || self.partitioned[b]);
            if to != from && (is_partitioned || self.reports_lost || self.rng.random_bool(0.05)) {
                continue;
            }
            let delay_ms = if to == from {
                0
            } else {
                self.rng.random_range(20..900)
            };
            self.in_flight.push(InFlight {
                to,
                from,
                arrives_ms: self.now_ms + delay_ms,
                made_ms: self.now_ms,
                report: Arc::clone(&report),
            });
        }
    }

    fn tick(&mut self, step: u64) {
        let regions = &self.regions;
        let now_ms = self.now_ms;
        let listed = self
            .nodes
            .iter()
            .map(|node| (node.region, node.is_listed(now_ms)));
        let listed: Vec<(usize, bool)> = listed.collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !node.runs(now_ms) {
                continue;
            }
            node.apply_pending(regions, now_ms);
            if is_due(step + 2, index) {
                node.observe(regions, &listed, now_ms, self.scenario.platform_list);
            }
            let wall = WallTime::from_ms(1_000_000 + now_ms + node.skew_ms);
            node.decider.tick(node.now(now_ms), wall);
        }
    }

    /// Processes the arrivals of one step in the order of time.
    fn process_arrivals(&mut self) {
        for origin in 0..REGIONS.len() {
            for (index, part) in self.instances_of_callers(origin) {
                for service in 0..SERVICES.len() {
                    let rps = self.scenario.demand_rps[origin][service] * self.burst[origin] * part;
                    self.add_arrivals(index, (origin, service), rps);
                }
            }
        }
        let end_us = (self.now_ms + STEP_MS) * 1_000;
        while let Some(next) = self.arrivals.first_entry() {
            if next.key().0 >= end_us {
                break;
            }
            let arrival = next.remove();
            if arrival.request.waited.is_zero() {
                self.tally.record_arrival(arrival.request.service);
            }
            if self.nodes[arrival.index].runs(self.now_ms) {
                self.attempt(arrival);
            }
        }
    }

    fn push(&mut self, arrival: Arrival) {
        self.arrivals_added += 1;
        let key = (arrival.at_us, self.arrivals_added);
        self.arrivals.insert(key, arrival);
    }

    /// Returns the instances that an origin's callers use, with their shares.
    fn instances_of_callers(&self, origin: usize) -> Vec<(usize, f64)> {
        // Look-ups return only instances that are ready.
        let runs = |index: &usize| {
            let node = &self.nodes[*index];
            node.runs(self.now_ms) && node.decider.is_ready(node.now(self.now_ms))
        };
        let up: Vec<usize> = (0..self.nodes.len()).filter(runs).collect();
        let near: Vec<usize> = up
            .iter()
            .copied()
            .filter(|index| self.nodes[*index].region == origin)
            .collect();
        let used = if near.is_empty() { up } else { near };
        let total: f64 = used
            .iter()
            .map(|index| self.nodes[*index].demand_weight)
            .sum();
        used.iter()
            .map(|index| (*index, self.nodes[*index].demand_weight / total))
            .collect()
    }

    /// Draws the requests that arrive at an instance in this step.
    fn add_arrivals(&mut self, index: usize, (origin, service): (usize, usize), rps: f64) {
        let mean = rps * STEP_MS as f64 / 1_000.0;
        for _ in 0..poisson(&mut self.rng, mean) {
            let after_us = self.rng.random_range(0..STEP_MS * 1_000);
            let request = PendingRequest {
                service,
                origin,
                draw: self.rng.random(),
                waited: Duration::ZERO,
            };
            self.push(Arrival {
                at_us: self.now_ms * 1_000 + after_us,
                index,
                request,
            });
        }
    }

    fn attempt(&mut self, arrival: Arrival) {
        let Arrival {
            at_us,
            index,
            request,
        } = arrival;
        let node = &mut self.nodes[index];
        let now = node.now_us(at_us);
        let attempt = Attempt {
            service: &self.services[request.service],
            origin: &self.regions[request.origin],
            draw: request.draw,
            waited: request.waited,
        };
        match node.decider.admit(&attempt, now) {
            Admission::Send { region, spilled } => {
                let to = region_index_of(&self.regions, &region);
                let shed = self.shedding[to] && self.rng.random_bool(0.3);
                if shed {
                    node.decider.record_rejection(&region, now);
                }
                let served = self.healthy[to] && !shed;
                let from = node.region;
                self.tally
                    .record_send(from, to, request.service, spilled, served);
            }
            Admission::Wait { retry_in } => self.push(Arrival {
                at_us: at_us + retry_in.as_micros() as u64,
                index,
                request: PendingRequest {
                    waited: request.waited + retry_in,
                    ..request
                },
            }),
            Admission::Reject { reason, .. } => {
                self.tally.record_rejection(request.service, reason)
            }
        }
    }

    /// Records the share of each service's requests that goes to each region.
    fn record_shares(&mut self) {
        for service in 0..SERVICES.len() {
            let mut shares = [0.0; REGIONS.len()];
            for origin in 0..REGIONS.len() {
                let weight = self.scenario.origin_weight(origin, service);
                for (index, part) in self.instances_of_callers(origin) {
                    let decider = &self.nodes[index].decider;
                    let row = decider.row(&self.services[service], &self.regions[origin]);
                    for (share, region) in shares.iter_mut().zip(&self.regions) {
                        let sent = row.as_ref().and_then(|row| row.get(region));
                        *share += weight * part * sent.map_or(0.0, |share| share.get());
                    }
                }
            }
            self.tally.record_shares(service, shares);
        }
        self.tally.end_step();
    }
}

/// Returns whether an instance's periodic work is due at this step.
fn is_due(step: u64, index: usize) -> bool {
    (step + index as u64).is_multiple_of(REPORT_EVERY)
}

fn health(healthy: bool) -> Share {
    if healthy { Share::ONE } else { Share::ZERO }
}

fn region_index_of(regions: &[RegionId], region: &RegionId) -> usize {
    let region_index = regions.iter().position(|known| known == region);
    region_index.expect("a region of the organisation")
}
