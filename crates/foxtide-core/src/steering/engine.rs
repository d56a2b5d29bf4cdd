//! The steering decisions of one instance for one organisation.

use super::options::SteeringOptions;
use super::planned::PlannedRows;
use super::rooms::Rooms;
use super::service::{ServiceState, ServiceTick};
use super::shift::Row;
use super::view::{FleetView, InstanceReport, ServiceReport};
use crate::ids::{RegionId, ServiceId};
use crate::limits::Claim;
use crate::organisation::{Organisation, Service, Upstream};
use crate::time::{MonotonicTime, WallTime};
use crate::units::{RequestRate, Share};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Decides, for one organisation at one instance, where each request goes.
///
/// Pure: the caller passes both clocks and all randomness in, calls
/// [`Self::tick`] every 100 ms, [`Self::report`] about every second and
/// [`Self::observe`] whenever its view of the fleet is renewed.
#[derive(Clone, Debug)]
pub struct Steering {
    organisation: Arc<Organisation>,
    pub(super) origin: RegionId,
    pub(super) options: SteeringOptions,
    pub(super) regions: Vec<RegionId>,
    pub(super) planned: PlannedRows,
    /// Sorted, with the place in the configuration and in `services`.
    pub(super) names: Vec<(ServiceId, usize)>,
    pub(super) services: Vec<ServiceState>,
    pub(super) rooms: Rooms,
    pub(super) view: FleetView,
    started_at: Option<MonotonicTime>,
    ticked_at: Option<MonotonicTime>,
    pub(super) adopt: Adopt,
}

/// Whether the positions of peers are to be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adopt {
    /// No view has come yet.
    AtFirstView,
    /// The process was paused; its rows are old.
    AtNextView,
    /// Rows are up to date.
    Done,
}

impl Steering {
    /// Returns the decisions of an instance that stands in `origin`.
    pub fn new(
        organisation: Arc<Organisation>,
        origin: RegionId,
        options: SteeringOptions,
    ) -> Self {
        let planned = PlannedRows::new(&organisation, &origin, options.shift_cap_factor);
        let rooms = Rooms::new(&organisation, &origin, MonotonicTime::ZERO);
        let mut steering = Self {
            organisation,
            origin,
            options,
            regions: Vec::new(),
            planned,
            names: Vec::new(),
            services: Vec::new(),
            rooms,
            view: FleetView::default(),
            started_at: None,
            ticked_at: None,
            adopt: Adopt::AtFirstView,
        };
        steering.rebuild(&BTreeMap::new());
        steering
    }

    /// Takes over a new configuration. Rows stay where they are and follow the
    /// new plan under the shift cap.
    pub fn configure(&mut self, organisation: Arc<Organisation>, now: MonotonicTime) {
        let rows = self.named_rows();
        self.planned = PlannedRows::new(&organisation, &self.origin, self.options.shift_cap_factor);
        self.rooms.configure(&organisation, now);
        self.organisation = organisation;
        self.rebuild(&rows);
        self.take_told_health();
    }

    /// Returns the configuration in force.
    pub fn organisation(&self) -> &Arc<Organisation> {
        &self.organisation
    }

    /// Takes over what is known of all instances.
    pub fn observe(&mut self, view: &FleetView, _now: MonotonicTime) {
        self.view = view.clone();
        self.rooms.observe(view);
        self.take_told_health();
        self.adopt_rows();
    }

    /// Notes the healthy part of a service's upstreams in a region as this
    /// instance itself sees it; that outranks what peers say.
    pub fn set_health(&mut self, service: &ServiceId, region: &RegionId, healthy: Option<Share>) {
        let region = self.regions.iter().position(|id| id == region);
        if let (Some(service), Some(region)) = (self.index_of(service), region) {
            self.services[service].seen_health[region] = healthy;
        }
    }

    /// Moves all rows and parts on to `now`.
    pub fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        let started_at = *self.started_at.get_or_insert(now);
        let since_last = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        if since_last > self.options.view_age_max && self.adopt == Adopt::Done {
            self.adopt = Adopt::AtNextView;
        }
        let passed = since_last.min(self.options.tick_max);
        let planned = self.aim(wall, since_last);
        self.aim_spill();
        let waited = now.since(started_at) >= self.options.startup_wait;
        if waited && self.adopt == Adopt::AtFirstView {
            self.adopt = Adopt::Done;
        }
        self.start_rows();
        for (service, planned) in self.services.iter_mut().zip(planned) {
            service.step(ServiceTick { planned, passed });
        }
        self.rooms.update(&self.view, &self.options, passed, now);
    }

    /// Returns the report to publish, and counts it as published.
    pub fn report(&mut self, now: MonotonicTime) -> InstanceReport {
        let services = self.names.iter();
        let services = services.map(|(id, index)| (id.clone(), self.service_report(*index)));
        InstanceReport {
            services: services.collect(),
            claims: self.rooms.publish(now),
        }
    }

    /// Returns the share of a service's requests that goes to each region, as
    /// it is now; what is missing to 1 is refused.
    pub fn row(&self, service: &ServiceId) -> Option<BTreeMap<RegionId, Share>> {
        let state = &self.services[self.index_of(service)?];
        Some(self.named(state.row.as_ref()?))
    }

    /// Returns the share that the plan and the regions' health want to go to
    /// each region.
    pub fn wanted_row(&self, service: &ServiceId) -> Option<BTreeMap<RegionId, Share>> {
        let state = &self.services[self.index_of(service)?];
        Some(self.named(&state.wanted))
    }

    /// Returns the rate that this instance may send to a region now.
    pub fn usable_rate(&self, region: &RegionId) -> Option<RequestRate> {
        let index = self.regions.iter().position(|id| id == region)?;
        Some(RequestRate::clamped(self.rooms.usable_rps(index)))
    }

    /// Finds a service's place.
    pub(super) fn index_of(&self, service: &ServiceId) -> Option<usize> {
        let found = self.names.binary_search_by(|(name, _)| name.cmp(service));
        found.ok().map(|place| self.names[place].1)
    }

    fn named(&self, row: &Row) -> BTreeMap<RegionId, Share> {
        let shares = self.regions.iter().cloned().zip(row);
        shares
            .map(|(region, share)| (region, Share::clamped(*share)))
            .collect()
    }

    fn named_rows(&self) -> BTreeMap<ServiceId, BTreeMap<RegionId, Share>> {
        let rows = self.names.iter();
        let rows = rows.filter_map(|(id, _)| Some((id.clone(), self.row(id)?)));
        rows.collect()
    }

    /// Builds the tables for the configuration in force.
    fn rebuild(&mut self, rows: &BTreeMap<ServiceId, BTreeMap<RegionId, Share>>) {
        let organisation = Arc::clone(&self.organisation);
        let regions = organisation.regions.iter();
        let old_regions = std::mem::take(&mut self.regions);
        self.regions = regions.map(|region| region.region.clone()).collect();
        let old_names = std::mem::take(&mut self.names);
        let old = std::mem::take(&mut self.services);
        for (index, service) in organisation.services.iter().enumerate() {
            let priority = self.options.priority(service.contract.priority);
            let mut state = ServiceState::new(service, priority, self.options.shift_cap_factor);
            state.homes = self.planned.homes_at(index).to_vec();
            state.seen_health = vec![None; self.regions.len()];
            state.told_health = vec![None; self.regions.len()];
            if let Ok(place) = old_names.binary_search_by(|(name, _)| name.cmp(&service.service)) {
                state.keep(&old[old_names[place].1], &old_regions, &self.regions);
            }
            let indices = 0..self.regions.len();
            state.reachable = indices
                .map(|region| self.reachable(service, region))
                .collect();
            if let Some(row) = rows.get(&service.service) {
                state.start_at(&self.regions, row);
            }
            self.names.push((service.service.clone(), index));
            self.services.push(state);
        }
        self.names.sort();
    }

    /// Works out where each service's traffic is wanted; returns the planned
    /// rows.
    fn aim(&mut self, wall: WallTime, since_last: Duration) -> Vec<Row> {
        let mut planned = Vec::with_capacity(self.services.len());
        for (index, service) in self.services.iter_mut().enumerate() {
            let row = self.planned.row_at(index, wall);
            service.measure_demand(since_last);
            service.aim(&row);
            planned.push(row);
        }
        planned
    }

    /// Works out what spills, and what is claimed of each region.
    fn aim_spill(&mut self) {
        let wanted_rps: Vec<f64> = (0..self.regions.len())
            .map(|r| self.wanted_rps(r))
            .collect();
        for service in &mut self.services {
            let spill_at_share = service.priority.spill_at_share;
            let regions = wanted_rps.iter().enumerate();
            let rooms = regions.map(|(r, rps)| self.rooms.room(r, *rps, spill_at_share));
            service.aim_spill(&rooms.collect::<Vec<_>>());
        }
        for region in 0..self.regions.len() {
            self.rooms.need(region, self.claim(region));
        }
    }

    /// Returns what is wanted to go to a region, in requests a second.
    fn wanted_rps(&self, region: usize) -> f64 {
        let wanted = |service: &ServiceState| service.demand_rps * service.wanted[region];
        self.services.iter().map(wanted).sum()
    }

    fn claim(&self, region: usize) -> Claim {
        let mut claim = Claim::default();
        for service in &self.services {
            claim = claim.plus(service.claim(region));
        }
        claim
    }

    fn service_report(&self, index: usize) -> ServiceReport {
        let state = &self.services[index];
        let own = self
            .regions
            .iter()
            .position(|region| *region == self.origin);
        ServiceReport {
            demand_rps: RequestRate::clamped(state.demand_rps),
            healthy_share: own.and_then(|region| state.seen_health[region]),
            row: state
                .row
                .as_ref()
                .map_or_else(BTreeMap::new, |row| self.named(row)),
        }
    }

    fn reachable(&self, service: &Service, region: usize) -> bool {
        let here = |upstream: &Upstream| upstream.region == self.regions[region];
        self.rooms.reachable(region) && service.upstreams.iter().any(here)
    }

    fn take_told_health(&mut self) {
        for (id, index) in &self.names {
            let state = &mut self.services[*index];
            for (region, told) in self.regions.iter().zip(&mut state.told_health) {
                let view = self.view.regions.get(region);
                let service = view.and_then(|view| view.services.get(id));
                *told = service.and_then(|service| service.healthy_share);
            }
        }
    }
}
