//! The metrics of demand and shares by region.

use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::placement::RegionShares;
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// The change of a share that is worth setting a metric.
const SHARE_STEP: f64 = 0.005;

/// The relative change of a demand that is worth setting a metric.
const DEMAND_STEP: f64 = 0.02;

/// The values that metrics were set to. Setting one costs more than comparing it.
#[derive(Debug, Default)]
pub(super) struct RegionGauges {
    shares: HashMap<ServiceId, RegionShares>,
    demand: HashMap<ServiceId, BTreeMap<RegionId, f64>>,
}

impl RegionGauges {
    /// Sets the shares of the own region's requests, all kinds together.
    pub(super) fn set_shares(&mut self, service: &ServiceId, shares: &RegionShares) {
        let has_moved = |before: f64, now: f64| (now - before).abs() >= SHARE_STEP;
        for (region, share) in changed(&mut self.shares, service, shares, has_moved) {
            metrics::gauge!(
                "foxtide_region_share",
                "service" => service.to_string(),
                "region" => region.to_string()
            )
            .set(share);
        }
    }

    /// Sets the demand of each region's callers.
    pub(super) fn set_demand(&mut self, service: &ServiceId, demand: &BTreeMap<RegionId, f64>) {
        let has_moved = |before: f64, now: f64| (now - before).abs() > DEMAND_STEP * before;
        for (region, slots) in changed(&mut self.demand, service, demand, has_moved) {
            metrics::gauge!(
                "foxtide_demand_slots",
                "service" => service.to_string(),
                "region" => region.to_string()
            )
            .set(slots);
        }
    }
}

/// Returns the values that have changed, and keeps them.
fn changed(
    known: &mut HashMap<ServiceId, BTreeMap<RegionId, f64>>,
    service: &ServiceId,
    values: &BTreeMap<RegionId, f64>,
    has_moved: impl Fn(f64, f64) -> bool,
) -> BTreeMap<RegionId, f64> {
    if !known.contains_key(service) {
        known.insert(service.clone(), BTreeMap::new());
    }
    let mut changed = BTreeMap::new();
    if let Some(known) = known.get_mut(service) {
        // A region that is gone has neither share nor demand.
        let gone = known.keys().filter(|region| !values.contains_key(*region));
        let gone = gone.map(|region| (region.clone(), 0.0));
        let present = values
            .iter()
            .map(|(region, value)| (region.clone(), *value));
        for (region, value) in gone.chain(present).collect::<Vec<_>>() {
            let before = known.get(&region).copied();
            if before.is_none_or(|before| has_moved(before, value)) {
                known.insert(region.clone(), value);
                changed.insert(region, value);
            }
        }
    }
    changed
}
