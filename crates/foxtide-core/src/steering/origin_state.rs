//! The state of all services for the callers of one origin region.

use super::destinations::Destinations;
use super::name_index::{
    NameIndex,
    NamedRow, //
};
use super::options::SteeringOptions;
use super::planned::PlannedRows;
use super::service::ServiceState;
use super::view::{
    FleetView,
    ServiceReport, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::organisation::{
    Organisation,
    Service, //
};
use crate::time::WallTime;
use crate::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of all services for the callers of one origin.
///
/// An instance also serves callers of regions without live instances. These
/// keep the row of their own origin, so that their traffic does not shift.
#[derive(Clone, Debug)]
pub(crate) struct OriginState {
    /// The region of the callers.
    pub(crate) region: RegionId,
    /// The services in the order of the configuration.
    pub(crate) services: Vec<ServiceState>,
    planned: PlannedRows,
}

/// The rows that are adopted from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    Missing,
    All,
}

impl OriginState {
    /// Creates the state of an origin without rows.
    pub(crate) fn new(
        organisation: &Organisation,
        origin: RegionId,
        options: &SteeringOptions,
        destinations: &Destinations,
    ) -> Self {
        let planned = PlannedRows::new(organisation, &origin, options.shift_cap_factor);
        let mut services = Vec::new();
        for (index, service) in organisation.services.iter().enumerate() {
            let homes = planned.homes_at(index);
            let mut state = ServiceState::new(service, homes, options);
            state.reachable = reachable(organisation, service, destinations);
            services.push(state);
        }
        Self {
            region: origin,
            services,
            planned,
        }
    }

    /// Restores rows and measurements from the state under the previous configuration.
    pub(crate) fn restore(&mut self, old: &Self, old_names: &NameIndex, names: &NameIndex) {
        for (id, index) in &names.services {
            if let Some(old_index) = old_names.service(id) {
                let state = &mut self.services[*index];
                state.restore(&old.services[old_index], old_names, names);
            }
        }
    }

    /// Copies the health of the upstreams from another origin's state.
    pub(crate) fn share_health(&mut self, other: &Self) {
        for (state, other) in self.services.iter_mut().zip(&other.services) {
            state.observed_health.clone_from(&other.observed_health);
            state.reported_health.clone_from(&other.reported_health);
        }
    }

    /// Updates the health that peers report for their regions' upstreams.
    pub(crate) fn update_reported_health(&mut self, view: &FleetView, names: &NameIndex) {
        for (id, index) in &names.services {
            let health = names
                .regions
                .iter()
                .map(|region| reported_health(view, region, id));
            self.services[*index].reported_health = health.collect();
        }
    }

    /// Adopts rows that peers use for these callers.
    pub(crate) fn adopt(
        &mut self,
        rows: &BTreeMap<ServiceId, NamedRow>,
        names: &NameIndex,
        which: Adoption,
    ) {
        for (id, index) in &names.services {
            let state = &mut self.services[*index];
            let row = rows
                .get(id)
                .filter(|_| which == Adoption::All || state.row.is_none());
            if let Some(row) = row {
                state.row = Some(names.indexed(row));
                state.drop_unusable();
            }
        }
    }

    /// Updates the mean demand per peer of the same origin.
    pub(crate) fn update_peer_demand(&mut self, view: &FleetView, names: &NameIndex) {
        let here = view.regions.get(&self.region);
        for (id, index) in &names.services {
            let service = here.and_then(|here| here.services.get(id));
            let mean = service.map(|s| s.demand_rps.get() / f64::from(s.instances.max(1)));
            self.services[*index].peer_demand_rps = mean.unwrap_or_default();
        }
    }

    /// Sets the peers' mean rows for the same callers.
    pub(crate) fn set_peer_rows(
        &mut self,
        rows: &BTreeMap<ServiceId, NamedRow>,
        names: &NameIndex,
    ) {
        for (id, index) in &names.services {
            let row = rows.get(id).map(|row| names.indexed(row));
            self.services[*index].peer_row = row;
        }
    }

    /// Returns whether no requests of these callers have arrived recently.
    pub(crate) fn is_idle(&self) -> bool {
        self.services.iter().all(ServiceState::is_idle)
    }

    /// Returns whether any service has no row yet.
    pub(crate) fn has_missing_rows(&self) -> bool {
        self.services.iter().any(|state| state.row.is_none())
    }

    /// Initialises the rows that no peer reports.
    ///
    /// If a majority of instances is live and none has a row, there is no traffic
    /// to shift and the row starts at its target. Otherwise it starts empty and
    /// rises under the shift cap.
    pub(crate) fn initialise_missing(&mut self, sees_majority: bool) {
        for state in self.services.iter_mut().filter(|state| state.row.is_none()) {
            if sees_majority {
                state.start_at_target();
            } else {
                state.start_empty();
            }
        }
    }

    /// Updates the measured demand and the wanted rows.
    pub(crate) fn update_wanted(&mut self, wall: WallTime, since_last: Duration) {
        for (index, state) in self.services.iter_mut().enumerate() {
            state.measure_demand(since_last);
            state.update_wanted(self.planned.row_at(index, wall));
        }
    }

    /// Returns the reports of all services for these callers; rows are included
    /// only if the instance is `ready`.
    pub(crate) fn report(
        &self,
        names: &NameIndex,
        ready: bool,
    ) -> BTreeMap<ServiceId, ServiceReport> {
        let own = names.region(&self.region);
        let services = names.services.iter();
        let services = services.map(|(id, index)| {
            let state = &self.services[*index];
            let row = state.row.as_ref().filter(|_| ready);
            let report = ServiceReport {
                demand_rps: RequestRate::clamped(state.demand_rps),
                healthy_share: own.and_then(|region| state.observed_health[region]),
                row: row.map_or_else(NamedRow::new, |row| names.named(row)),
            };
            (id.clone(), report)
        });
        services.collect()
    }
}

/// Returns which regions could serve a service if they were healthy.
fn reachable(
    organisation: &Organisation,
    service: &Service,
    destinations: &Destinations,
) -> Vec<bool> {
    let regions = organisation.regions.iter().enumerate();
    let reachable = regions.map(|(index, region)| {
        let mut upstreams = service.upstreams.iter();
        destinations.reachable(index) && upstreams.any(|upstream| upstream.region == region.region)
    });
    reachable.collect()
}

fn reported_health(view: &FleetView, region: &RegionId, service: &ServiceId) -> Option<Share> {
    view.regions
        .get(region)?
        .services
        .get(service)?
        .healthy_share
}
