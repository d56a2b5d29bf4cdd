//! Initialises an instance's rows from the rows of its peers.

use super::engine::{
    RowSync,
    Steering, //
};
use super::name_index::NamedRow;
use super::origin_state::{
    Adoption,
    OriginState, //
};
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
        self.update_last_rows();
        for (index, origin) in self.origins.iter_mut().enumerate() {
            let own = own_rows(&self.view, &origin.region);
            if index == 0 {
                origin.set_peer_rows(&own, &self.names);
                origin.update_peer_demand(&self.view, &self.names);
                continue;
            }
            // The origin's own instances are authoritative, but their old reports
            // must not overwrite a row that is in use here.
            if origin.is_idle() {
                origin.adopt(&own, &self.names, Adoption::All);
            }
            let foreign = rows_of(&self.view.foreign(&origin.region));
            origin.set_peer_rows(&foreign, &self.names);
        }
    }

    /// Completes the row synchronisation after its waiting time, and initialises
    /// missing rows.
    pub(super) fn initialise_rows(&mut self, now: MonotonicTime) {
        if let RowSync::Waiting { since } = self.row_sync {
            let waited = now.since(since);
            let may_receive_rows = self.awaits_peer_rows() && waited < self.options.claim_hold;
            if waited < self.adoption_wait() || may_receive_rows {
                return;
            }
            self.row_sync = RowSync::Done;
            for origin in &mut self.origins {
                let foreign = rows_of(&self.view.foreign(&origin.region));
                origin.adopt(&foreign, &self.names, Adoption::All);
                let own = own_rows(&self.view, &origin.region);
                origin.adopt(&own, &self.names, Adoption::All);
            }
        }
        self.initialise_own_rows();
        let sees_majority = self.view.sees_majority();
        for origin in self.origins.iter_mut().skip(1) {
            let region = self.view.regions.get(&origin.region);
            let had_instances = region.is_some_and(|region| region.known_instances > 0);
            origin.initialise_missing(sees_majority && !had_instances);
        }
    }

    /// Initialises missing rows of this instance's own origin.
    fn initialise_own_rows(&mut self) {
        let cut_off = self.awaits_peer_rows();
        let origin = &mut self.origins[0];
        if !origin.has_missing_rows() {
            return;
        }
        let services = self.names.services.iter();
        let rows = services.filter_map(|(id, _)| {
            let row = foreign_row(&self.view, &origin.region, id)?;
            Some((id.clone(), row))
        });
        if !cut_off {
            origin.adopt(&rows.collect(), &self.names, Adoption::Missing);
        }
        origin.initialise_missing(self.view.sees_majority() && !cut_off);
    }

    /// Returns whether no peer reports a row of this origin, but some of its known
    /// instances are not live and may still do so.
    fn awaits_peer_rows(&self) -> bool {
        let origin = &self.origins[0].region;
        let has_rows = !own_rows(&self.view, origin).is_empty();
        let here = self.view.regions.get(origin);
        let all_live = here.is_none_or(|here| here.live_instances >= here.known_instances);
        !has_rows && !all_live
    }

    /// Returns the time to wait for peers' rows. Reports from before the start, whose
    /// senders may have failed, expire within it.
    fn adoption_wait(&self) -> Duration {
        let wait = self.options.startup_wait;
        if wait.is_zero() || self.view.is_alone() {
            return wait;
        }
        wait.max(self.options.view_age_max)
    }

    /// Returns the index of an origin's state, which is created if needed.
    pub(super) fn origin_index(&mut self, origin: &RegionId) -> usize {
        let mut origins = self.origins.iter();
        match origins.position(|state| state.region == *origin) {
            Some(index) => index,
            // Callers outside of the organisation's regions use this instance's row.
            None if self.names.region(origin).is_none() => 0,
            None => self.add_origin(origin),
        }
    }

    fn add_origin(&mut self, origin: &RegionId) -> usize {
        let organisation = &self.organisation;
        let mut state = OriginState::new(
            organisation,
            origin.clone(),
            &self.options,
            &self.destinations,
        );
        state.share_health(&self.origins[0]);
        // Prefers the current rows of other instances that serve these callers.
        let foreign = rows_of(&self.view.foreign(origin));
        state.adopt(&foreign, &self.names, Adoption::Missing);
        if let Some(rows) = self.last_rows.get(origin) {
            state.adopt(rows, &self.names, Adoption::Missing);
        }
        self.origins.push(state);
        self.adopt_rows();
        self.origins.len() - 1
    }

    /// Stores each origin's latest rows, which other instances use when the origin's
    /// own instances fail.
    fn update_last_rows(&mut self) {
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

/// Returns the row that instances of other regions use for the callers of an origin.
///
/// If there is none, returns the mean of the other regions' own rows, weighted by
/// demand.
fn foreign_row(view: &FleetView, origin: &RegionId, service: &ServiceId) -> Option<NamedRow> {
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
