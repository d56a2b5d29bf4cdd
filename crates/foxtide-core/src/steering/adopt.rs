//! Where the rows of an instance start: where its peers stand.

use super::engine::{Adopt, Steering};
use super::view::FleetView;
use crate::ids::{RegionId, ServiceId};
use crate::units::Share;
use std::collections::BTreeMap;

impl Steering {
    /// Takes over the peers' rows where they are needed and known.
    pub(super) fn adopt_rows(&mut self) {
        let renew = self.adopt != Adopt::Done;
        let mut found = false;
        for (id, index) in &self.names {
            let state = &mut self.services[*index];
            if !renew && state.row.is_some() {
                continue;
            }
            if let Some(row) = peers_row(&self.view, &self.origin, id) {
                state.start_at(&self.regions, &row);
                found = true;
            }
        }
        if found || self.adopt == Adopt::AtNextView {
            self.adopt = Adopt::Done;
        }
    }

    /// Starts the rows that no peer knows of, once peers have had time to tell.
    pub(super) fn start_rows(&mut self) {
        if self.adopt == Adopt::AtFirstView {
            return;
        }
        let missing = self.services.iter_mut().filter(|state| state.row.is_none());
        missing.for_each(|state| state.start_at_target());
    }
}

/// Returns where a service's requests from this origin go now.
///
/// Where no instance stands in the origin, its callers use those of other
/// origins, so the requests go where the rows of these send them.
fn peers_row(
    view: &FleetView,
    origin: &RegionId,
    service: &ServiceId,
) -> Option<BTreeMap<RegionId, Share>> {
    let of_region = |region: &RegionId| view.regions.get(region)?.services.get(service);
    let own = of_region(origin).filter(|service| !service.row.is_empty());
    if let Some(own) = own {
        return Some(own.row.clone());
    }
    let others = view
        .regions
        .values()
        .filter_map(|region| region.services.get(service));
    let others: Vec<_> = others.filter(|service| !service.row.is_empty()).collect();
    let total_rps: f64 = others.iter().map(|other| other.demand_rps.get()).sum();
    if total_rps <= 0.0 {
        return None;
    }
    let mut mean: BTreeMap<RegionId, Share> = BTreeMap::new();
    for other in others {
        let weight = other.demand_rps.get() / total_rps;
        for (region, share) in &other.row {
            let sum = mean.entry(region.clone()).or_default();
            *sum = Share::clamped(sum.get() + share.get() * weight);
        }
    }
    Some(mean)
}
