//! Seeded scenarios with timed failures, bursts and reconfigurations.

use super::fixture::{
    OrganisationOptions,
    REGIONS,
    SERVICES,
    organisation,
    region, //
};
use super::fleet::STEP_MS;
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation,
    PlannedMove, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::{
    Share,
    ShareRate, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::sync::Arc;
use std::time::Duration;

/// The number of instances in a scenario.
pub(crate) const NODES: usize = 10;

/// The earliest time of an event; all instances know one another by then.
const FIRST_EVENT_MS: u64 = 15_000;

/// The latest start of an event.
const LAST_EVENT_MS: u64 = 60_000;

/// The duration of a scenario.
const LENGTH_MS: u64 = 90_000;

/// An event of a scenario; regions and instances are given by index.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Stop(usize),
    /// Starts an instance without state.
    Start(usize),
    /// Pauses an instance's process for a time in milliseconds.
    Pause(usize, u64),
    /// Sets whether a region's upstreams are healthy.
    Health(usize, bool),
    /// Sets whether a region's instances are partitioned from other regions.
    Partition(usize, bool),
    /// Sets whether all reports are lost.
    ReportLoss(bool),
    /// Sets the factor applied to the demand of a region's callers.
    Burst(usize, f64),
    /// Sets whether a region's upstreams reject a part of the requests.
    Shed(usize, bool),
    /// Sets an instance's share of its region's demand, as a weight.
    Skew(usize, f64),
    /// Publishes a configuration.
    Configure(Arc<Organisation>),
}

/// The parameters and events of one simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// The seed of the simulation's randomness.
    pub(crate) seed: u64,
    pub(crate) length_ms: u64,
    /// The parameters of the organisation.
    pub(crate) options: OrganisationOptions,
    /// The configuration at the start.
    pub(crate) organisation: Organisation,
    /// The demand by region and service.
    pub(crate) demand_rps: [[f64; SERVICES.len()]; REGIONS.len()],
    /// Whether instances see the platform's list; without it they drop peers that
    /// are silent for long.
    pub(crate) platform_list: bool,
    /// The events with their times in milliseconds.
    pub(crate) events: Vec<(u64, Event)>,
}

impl Scenario {
    /// Returns a scenario without events.
    pub(crate) fn quiet(seed: u64, options: OrganisationOptions, demand_rps: f64) -> Self {
        let each = demand_rps / SERVICES.len() as f64;
        Self {
            seed,
            length_ms: LENGTH_MS,
            organisation: organisation(&options),
            options,
            demand_rps: [[each; SERVICES.len()]; REGIONS.len()],
            platform_list: true,
            events: Vec::new(),
        }
    }

    /// Returns the random scenario of a seed.
    pub(crate) fn random(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        let options = OrganisationOptions {
            shift_cap_share_per_s: [0.01, 0.02, 0.05][rng.random_range(0..3)],
            spill_limit_share: [0.0, 0.1, 0.2][rng.random_range(0..3)],
            region_rps: rng.random_range(60.0..300.0),
            link_rps: rng.random_range(30.0..200.0),
            priority: ["latency", "headroom"][rng.random_range(0..2)],
        };
        let load = rng.random_range(0.3..1.3) * options.region_rps;
        let mut scenario = Self::quiet(seed, options, load);
        for demand in scenario.demand_rps.iter_mut().flatten() {
            *demand *= rng.random_range(0.4..1.6);
        }
        for _ in 0..rng.random_range(2..7) {
            let at_ms = rng.random_range(FIRST_EVENT_MS..LAST_EVENT_MS) / STEP_MS * STEP_MS;
            scenario.add_random(at_ms, &mut rng);
        }
        scenario
    }

    /// Returns an origin's share of the demand for a service.
    pub(crate) fn origin_weight(&self, origin: usize, service: usize) -> f64 {
        let total: f64 = self.demand_rps.iter().map(|demand| demand[service]).sum();
        self.demand_rps[origin][service] / total
    }

    pub(crate) fn at(&mut self, at_ms: u64, event: Event) {
        self.events.push((at_ms, event));
    }

    fn add_random(&mut self, at_ms: u64, rng: &mut StdRng) {
        let node = rng.random_range(0..NODES);
        let region_index = rng.random_range(0..REGIONS.len());
        let later_ms = at_ms + rng.random_range(10..400) * STEP_MS;
        match rng.random_range(0..11) {
            0 => {
                self.at(at_ms, Event::Stop(node));
                self.at(
                    at_ms + rng.random_range(3..40) * STEP_MS,
                    Event::Start(node),
                );
            }
            1 => self.at(at_ms, Event::Stop(node)),
            2 => self.at(
                at_ms,
                Event::Pause(node, rng.random_range(5..200) * STEP_MS),
            ),
            3 => self.between(
                at_ms,
                Event::Health(region_index, false),
                later_ms,
                Event::Health(region_index, true),
            ),
            4 => self.lose_region(at_ms, region_index, later_ms),
            5 => self.between(
                at_ms,
                Event::Partition(region_index, true),
                later_ms,
                Event::Partition(region_index, false),
            ),
            6 => self.between(
                at_ms,
                Event::ReportLoss(true),
                later_ms,
                Event::ReportLoss(false),
            ),
            7 => {
                let factor = rng.random_range(1.5..4.0);
                self.between(
                    at_ms,
                    Event::Burst(region_index, factor),
                    later_ms,
                    Event::Burst(region_index, 1.0),
                );
            }
            8 => self.between(
                at_ms,
                Event::Shed(region_index, true),
                later_ms,
                Event::Shed(region_index, false),
            ),
            9 => self.at(at_ms, Event::Skew(node, rng.random_range(0.0..8.0))),
            _ => self.reconfigure(at_ms, rng),
        }
    }

    fn between(&mut self, from_ms: u64, begin: Event, until_ms: u64, end: Event) {
        self.at(from_ms, begin);
        self.at(until_ms, end);
    }

    /// Adds the failure and recovery of a region's upstreams and instances.
    pub(crate) fn lose_region(&mut self, at_ms: u64, region_index: usize, until_ms: u64) {
        let first = [0, 4, 7, NODES];
        for node in first[region_index]..first[region_index + 1] {
            self.between(at_ms, Event::Stop(node), until_ms, Event::Start(node));
        }
        self.between(
            at_ms,
            Event::Health(region_index, false),
            until_ms,
            Event::Health(region_index, true),
        );
    }

    fn reconfigure(&mut self, at_ms: u64, rng: &mut StdRng) {
        let start_us = WallTime::from_ms(1_000_000 + at_ms);
        let start_us = start_us + Duration::from_secs(rng.random_range(0..20));
        let indices = [(0, 1), (1, 2), (2, 0)][rng.random_range(0..3)];
        let (from, to) = (region(REGIONS[indices.0]), region(REGIONS[indices.1]));
        let pace = self.options.shift_cap_share_per_s * rng.random_range(0.3..1.0);
        let mut changed = self.newest();
        match rng.random_range(0..4) {
            0 | 1 => changed.moves.push(PlannedMove {
                id: format!("m{at_ms}").parse().expect("a move's name"),
                service: SERVICES[rng.random_range(0..SERVICES.len())]
                    .parse()
                    .expect("a name"),
                from,
                to,
                share: Share::clamped(rng.random_range(0.1..1.0)),
                pace_share_per_s: ShareRate::new(pace).expect("a pace"),
                start_us,
                paused_us: None,
            }),
            2 => changed.drains.push(Drain {
                id: format!("d{at_ms}").parse().expect("a drain's name"),
                target: DrainTarget::Region(from),
                start_us,
            }),
            _ => {
                let service = rng.random_range(0..SERVICES.len());
                changed.services[service]
                    .contract
                    .homes
                    .retain(|home| home.region != from);
            }
        }
        changed.revision = changed.revision.next();
        self.at(at_ms, Event::Configure(Arc::new(changed)));
    }

    fn newest(&self) -> Organisation {
        let configured = self.events.iter().rev().find_map(|(_, event)| match event {
            Event::Configure(organisation) => Some(organisation.as_ref().clone()),
            _ => None,
        });
        configured.unwrap_or_else(|| self.organisation.clone())
    }
}
