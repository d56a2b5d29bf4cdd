//! The steering state of one instance for one organisation.

use super::destinations::Destinations;
use super::known_instances::KnownInstances;
use super::name_index::{
    NameIndex,
    NamedRow, //
};
use super::options::SteeringOptions;
use super::origin_state::OriginState;
use super::service::ServiceState;
use super::view::{
    FleetView,
    InstanceReport, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::limits::Claim;
use crate::organisation::Organisation;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use crate::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Chooses the region of each request of one organisation on one instance.
///
/// It does no I/O: the caller supplies both clocks and all randomness, calls
/// [`Self::tick`] every 100 ms, [`Self::report`] about every second and
/// [`Self::observe`] whenever its view of the fleet changes.
#[derive(Clone, Debug)]
pub struct Steering {
    pub(super) organisation: Arc<Organisation>,
    pub(super) options: SteeringOptions,
    pub(super) names: NameIndex,
    /// The state by origin, that of this instance's region first.
    pub(super) origins: Vec<OriginState>,
    pub(super) destinations: Destinations,
    pub(super) view: FleetView,
    known_instances: KnownInstances,
    pub(super) last_rows: BTreeMap<RegionId, BTreeMap<ServiceId, NamedRow>>,
    pub(super) row_sync: RowSync,
    started_at: Option<MonotonicTime>,
    ticked_at: Option<MonotonicTime>,
}

/// The state of the synchronisation of rows with peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowSync {
    /// The process has started or was paused, and waits for its peers' rows.
    Waiting { since: MonotonicTime },
    /// The rows are up to date.
    Done,
}

impl Steering {
    /// Creates the state of an instance in the region `origin`.
    pub fn new(
        organisation: Arc<Organisation>,
        origin: RegionId,
        options: SteeringOptions,
    ) -> Self {
        let destinations = Destinations::new(&organisation, &origin, MonotonicTime::ZERO);
        let own_origin = OriginState::new(&organisation, origin, &options, &destinations);
        Self {
            names: NameIndex::new(&organisation),
            organisation,
            options,
            origins: vec![own_origin],
            destinations,
            view: FleetView::default(),
            known_instances: KnownInstances::default(),
            last_rows: BTreeMap::new(),
            row_sync: RowSync::Waiting {
                since: MonotonicTime::ZERO,
            },
            started_at: None,
            ticked_at: None,
        }
    }

    /// Applies a new configuration. Rows are kept and move to the new plan under
    /// the shift cap.
    pub fn configure(&mut self, organisation: Arc<Organisation>, now: MonotonicTime) {
        self.destinations.configure(&organisation, now);
        let names = NameIndex::new(&organisation);
        for origin in &mut self.origins {
            let region = origin.region.clone();
            let mut new =
                OriginState::new(&organisation, region, &self.options, &self.destinations);
            new.restore(origin, &self.names, &names);
            new.update_reported_health(&self.view, &names);
            *origin = new;
        }
        self.organisation = organisation;
        self.names = names;
        self.adopt_rows();
    }

    /// Returns the current configuration.
    pub fn organisation(&self) -> &Arc<Organisation> {
        &self.organisation
    }

    /// Applies a new view of the fleet.
    pub fn observe(&mut self, view: &FleetView, now: MonotonicTime) {
        self.view = view.clone();
        let hold = self.options.lost_region_hold;
        self.known_instances.apply_to(&mut self.view, hold, now);
        self.destinations.observe(&self.view);
        for origin in &mut self.origins {
            origin.update_reported_health(&self.view, &self.names);
        }
        self.adopt_rows();
    }

    /// Sets the healthy share of a service's upstreams in a region as observed by
    /// this instance; it takes precedence over peers' reports.
    pub fn set_health(&mut self, service: &ServiceId, region: &RegionId, healthy: Option<Share>) {
        let indices = (self.names.service(service), self.names.region(region));
        let (Some(service), Some(region)) = indices else {
            return;
        };
        for origin in &mut self.origins {
            origin.services[service].observed_health[region] = healthy;
        }
    }

    /// Advances all rows and allocations to `now`.
    pub fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        if self.ticked_at.is_none() || self.was_paused(now) {
            self.row_sync = RowSync::Waiting { since: now };
        }
        let since_last = self.ticked_at.map_or(Duration::ZERO, |at| now.since(at));
        self.ticked_at = Some(now);
        for origin in &mut self.origins {
            origin.update_wanted(wall, since_last);
        }
        self.update_spill(now);
        self.initialise_rows(now);
        let passed = since_last.min(self.options.tick_max);
        let origins = self.origins.iter_mut();
        for service in origins.flat_map(|origin| &mut origin.services) {
            service.step(passed);
        }
        self.destinations
            .update(&self.view, &self.options, passed, now);
    }

    /// Returns whether the process was paused for so long that its rows are stale.
    pub(super) fn was_paused(&self, now: MonotonicTime) -> bool {
        let ticked_at = self.ticked_at.unwrap_or(now);
        now.since(ticked_at) > self.options.view_age_max
    }

    /// Returns whether the instance has synchronised its rows and has an
    /// allocation; until then look-ups should not return it.
    pub fn is_ready(&self, now: MonotonicTime) -> bool {
        self.rows_are_current(now) && self.destinations.has_settled()
    }

    /// Returns whether the rows are synchronised and not stale.
    pub(super) fn rows_are_current(&self, now: MonotonicTime) -> bool {
        self.row_sync == RowSync::Done && !self.was_paused(now)
    }

    /// Returns the report to publish and records its claims as published.
    pub fn report(&mut self, now: MonotonicTime) -> InstanceReport {
        let ready = self.rows_are_current(now);
        let report = |origin: &OriginState| origin.report(&self.names, ready);
        let foreign = self.origins.iter().skip(1);
        let foreign = foreign.map(|origin| (origin.region.clone(), report(origin)));
        InstanceReport {
            services: report(&self.origins[0]),
            foreign: foreign.collect(),
            limits: self.destinations.publish(now),
        }
    }

    /// Returns the current share of a service's requests that goes to each
    /// region; the remainder to 1 is rejected.
    pub fn row(&self, service: &ServiceId) -> Option<BTreeMap<RegionId, Share>> {
        self.row_from(service, &self.origins[0].region)
    }

    /// Returns the current row of a service for the callers of any region, or
    /// `None` if they do not use this instance.
    pub fn row_from(
        &self,
        service: &ServiceId,
        origin: &RegionId,
    ) -> Option<BTreeMap<RegionId, Share>> {
        let mut origins = self.origins.iter();
        let origin = origins.find(|state| state.region == *origin)?;
        let state = &origin.services[self.names.service(service)?];
        Some(self.names.named(state.row.as_ref()?))
    }

    /// Returns the row wanted by the plan, given the health of the regions.
    pub fn wanted_row(&self, service: &ServiceId) -> Option<BTreeMap<RegionId, Share>> {
        let state = &self.origins[0].services[self.names.service(service)?];
        Some(self.names.named(&state.wanted))
    }

    /// Returns how many requests for a service were rejected since the process started.
    pub fn rejected(&self, service: &ServiceId) -> u64 {
        let index = self.names.service(service);
        let of_service = |index| self.origins.iter().map(move |one| &one.services[index]);
        let services = index.into_iter().flat_map(of_service);
        services.map(|service| service.rejected).sum()
    }

    /// Returns the rate at which this instance may currently send to a region.
    pub fn usable_rate(&self, region: &RegionId) -> Option<RequestRate> {
        let index = self.names.region(region)?;
        Some(RequestRate::clamped(self.destinations.usable_rps(index)))
    }

    /// Updates the spill targets and the claims on each region.
    fn update_spill(&mut self, now: MonotonicTime) {
        let indices = 0..self.names.regions.len();
        let wanted_rps: Vec<f64> = indices.map(|region| self.wanted_rps(region)).collect();
        let origins = self.origins.iter_mut();
        for service in origins.flat_map(|origin| &mut origin.services) {
            let spill_at_share = service.priority.spill_at_share;
            let regions = wanted_rps.iter().enumerate();
            let capacities =
                regions.map(|(r, rps)| self.destinations.free_capacity(r, *rps, spill_at_share));
            service.update_spill(&capacities.collect::<Vec<_>>());
        }
        let started_at = *self.started_at.get_or_insert(now);
        let is_joining = now.since(started_at) < self.options.joining_period;
        let min_claim_share = if is_joining {
            1.0
        } else {
            self.options.idle_claim_share
        };
        for region in 0..self.names.regions.len() {
            let claims = self
                .services()
                .map(|service| service.claim(region, min_claim_share));
            let need = claims.fold(Claim::default(), Claim::plus);
            let idle_claim = self.destinations.idle_claim(region, &self.options);
            self.destinations.set_need(region, need.max(idle_claim));
        }
    }

    /// Returns the rate that is wanted to go to a region, before any spill-over.
    fn wanted_rps(&self, region: usize) -> f64 {
        let wanted = |service: &ServiceState| service.demand_rps * service.wanted[region];
        self.services().map(wanted).sum()
    }

    fn services(&self) -> impl Iterator<Item = &ServiceState> {
        self.origins.iter().flat_map(|origin| &origin.services)
    }
}
