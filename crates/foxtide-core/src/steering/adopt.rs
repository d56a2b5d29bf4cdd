//! Initialises an instance's rows from the rows of its peers.

use super::engine::{
    RowSync,
    Steering, //
};
use super::flows::{
    Adoption,
    OriginFlows, //
};
use super::name_index::NamedRow;
use super::view::{
    FleetView,
    ServiceView, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::time::MonotonicTime;
use crate::units::Share;
use std::collections::BTreeMap;
use std::time::Duration;

/// The rows by service for one origin.
type Rows = BTreeMap<ServiceId, NamedRow>;

impl Steering {
    /// Updates the peers' rows, and adopts those of other origins that are idle.
    pub(super) fn adopt_rows(&mut self) {
        self.remember_rows();
        for (index, flows) in self.flows.iter_mut().enumerate() {
            let own = own_rows(&self.view, &flows.origin);
            if index == 0 {
                flows.set_peer_rows(&own, &self.names);
                flows.update_peer_demand(&self.view, &self.names);
                continue;
            }
            // The origin's own instances are authoritative, but their old reports
            // must not overwrite a row that is in use here.
            if flows.is_idle() {
                flows.adopt(&own, &self.names, Adoption::All);
            }
            let foreign = rows_of(&self.view.foreign(&flows.origin));
            flows.set_peer_rows(&foreign, &self.names);
        }
    }

    /// Completes the row synchronisation after its waiting time, and initialises
    /// missing rows.
    pub(super) fn start_rows(&mut self, now: MonotonicTime) {
        if let RowSync::Waiting { since } = self.row_sync {
            let waited = now.since(since);
            let may_receive = self.is_missing_peers() && waited < self.options.claim_hold;
            if waited < self.adoption_wait() || may_receive {
                return;
            }
            self.row_sync = RowSync::Done;
            for flows in &mut self.flows {
                let foreign = rows_of(&self.view.foreign(&flows.origin));
                flows.adopt(&foreign, &self.names, Adoption::All);
                let own = own_rows(&self.view, &flows.origin);
                flows.adopt(&own, &self.names, Adoption::All);
            }
        }
        self.start_own();
        let sees_majority = self.view.sees_majority();
        for flows in self.flows.iter_mut().skip(1) {
            let region = self.view.regions.get(&flows.origin);
            let had_instances = region.is_some_and(|region| region.known_instances > 0);
            flows.start_missing(sees_majority && !had_instances);
        }
    }

    /// Initialises missing rows of this instance's own origin.
    fn start_own(&mut self) {
        let cut_off = self.is_missing_peers();
        let flows = &mut self.flows[0];
        if !flows.has_missing_rows() {
            return;
        }
        let services = self.names.services.iter();
        let rows = services.filter_map(|(id, _)| {
            let row = row_elsewhere(&self.view, &flows.origin, id)?;
            Some((id.clone(), row))
        });
        if !cut_off {
            flows.adopt(&rows.collect(), &self.names, Adoption::Missing);
        }
        flows.start_missing(self.view.sees_majority() && !cut_off);
    }

    /// Returns whether no row of this origin is reported while some of its known
    /// instances are not live.
    fn is_missing_peers(&self) -> bool {
        let origin = &self.flows[0].origin;
        let has_rows = !own_rows(&self.view, origin).is_empty();
        let here = self.view.regions.get(origin);
        let all_live = here.is_none_or(|here| here.live_instances >= here.known_instances);
        !has_rows && !all_live
    }

    /// Returns how long to wait for peers' rows. By then reports from before the
    /// start have expired; their senders may have died.
    fn adoption_wait(&self) -> Duration {
        let wait = self.options.startup_wait;
        if wait.is_zero() || self.view.is_alone() {
            return wait;
        }
        wait.max(self.options.view_age_max)
    }

    /// Returns the index of the flows of an origin, creating them if needed.
    pub(super) fn flows_of(&mut self, origin: &RegionId) -> usize {
        let known = self.flows.iter().position(|flows| flows.origin == *origin);
        match known {
            Some(index) => index,
            // Callers outside all of the organisation's regions use the own row.
            None if self.names.region(origin).is_none() => 0,
            None => self.add_flows(origin),
        }
    }

    fn add_flows(&mut self, origin: &RegionId) -> usize {
        let organisation = &self.organisation;
        let mut flows = OriginFlows::new(
            organisation,
            origin.clone(),
            &self.options,
            &self.destinations,
        );
        flows.share_health(&self.flows[0]);
        // Prefers the current rows of other instances that serve these callers.
        let foreign = rows_of(&self.view.foreign(origin));
        flows.adopt(&foreign, &self.names, Adoption::Missing);
        if let Some(rows) = self.last_rows.get(origin) {
            flows.adopt(rows, &self.names, Adoption::Missing);
        }
        self.flows.push(flows);
        self.adopt_rows();
        self.flows.len() - 1
    }

    /// Stores each origin's rows, with which other instances continue when the
    /// origin's instances fail.
    fn remember_rows(&mut self) {
        for (origin, region) in &self.view.regions {
            let rows = rows_of(&region.services);
            if !rows.is_empty() {
                self.last_rows
                    .entry(origin.clone())
                    .or_default()
                    .extend(rows);
            }
        }
    }
}

/// Returns the rows reported by an origin's own instances.
fn own_rows(view: &FleetView, origin: &RegionId) -> Rows {
    let region = view.regions.get(origin);
    region.map_or_else(Rows::new, |region| rows_of(&region.services))
}

fn rows_of(services: &BTreeMap<ServiceId, ServiceView>) -> Rows {
    let rows = services
        .iter()
        .filter(|(_, service)| !service.row.is_empty());
    rows.map(|(id, service)| (id.clone(), service.row.clone()))
        .collect()
}

/// Returns the row of an origin without other instances, as known by instances
/// of other regions that served its callers.
///
/// Without a row for the origin, this is the mean of the other regions' rows,
/// weighted by demand.
fn row_elsewhere(view: &FleetView, origin: &RegionId, service: &ServiceId) -> Option<NamedRow> {
    let mut foreign = view.foreign(origin);
    if let Some(foreign) = foreign
        .remove(service)
        .filter(|foreign| !foreign.row.is_empty())
    {
        return Some(foreign.row);
    }
    let regions = view.regions.values();
    let others = regions.filter_map(|region| region.services.get(service));
    let others: Vec<_> = others.filter(|other| !other.row.is_empty()).collect();
    let total_rps: f64 = others.iter().map(|other| other.demand_rps.get()).sum();
    if total_rps <= 0.0 {
        return None;
    }
    let mut mean = NamedRow::new();
    for other in others {
        let weight = other.demand_rps.get() / total_rps;
        for (region, share) in &other.row {
            let sum = mean.entry(region.clone()).or_default();
            *sum = Share::clamped(sum.get() + share.get() * weight);
        }
    }
    Some(mean)
}
