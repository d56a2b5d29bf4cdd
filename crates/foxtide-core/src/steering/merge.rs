//! Merges the views of disjoint groups of instances of one region.

use super::view::{
    IDLE_WEIGHT_RPS,
    RegionView,
    ServiceView, //
};
use crate::ids::RegionId;
use crate::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;

impl RegionView {
    /// Adds another group of instances of the same region; the groups must be
    /// disjoint.
    pub fn merge(&mut self, other: &Self) {
        if other.counted_instances > 0 {
            let oldest_at = other.oldest_at;
            self.oldest_at = match self.counted_instances {
                0 => oldest_at,
                _ => self.oldest_at.min(oldest_at),
            };
        }
        self.counted_instances += other.counted_instances;
        self.live_instances += other.live_instances;
        self.known_instances += other.known_instances;
        for (id, service) in &other.services {
            self.services.entry(id.clone()).or_default().merge(service);
        }
        for (origin, services) in &other.foreign {
            let foreign = self.foreign.entry(origin.clone()).or_default();
            for (id, service) in services {
                foreign.entry(id.clone()).or_default().merge(service);
            }
        }
        for (region, limit) in &other.limits {
            let sum = self.limits.entry(region.clone()).or_default();
            *sum = sum.plus(*limit);
        }
    }

    /// Marks all instances as not live; their claims still count.
    pub fn make_silent(&mut self) {
        self.live_instances = 0;
        self.services.clear();
        self.foreign.clear();
        for limit in self.limits.values_mut() {
            *limit = limit.claim_only();
        }
    }
}

impl ServiceView {
    /// Adds another group of instances.
    pub fn merge(&mut self, other: &Self) {
        self.healthy_share = match (self.healthy_share, other.healthy_share) {
            (Some(known), Some(new)) if new < known => Some(known),
            (known, new) => new.or(known),
        };
        self.row = mean_row(self, other);
        self.instances += other.instances;
        let demand_rps = self.demand_rps.get() + other.demand_rps.get();
        self.demand_rps = RequestRate::clamped(demand_rps);
    }

    /// Returns the weight of this group's row, zero without a row.
    fn row_weight(&self) -> f64 {
        if self.row.is_empty() {
            return 0.0;
        }
        self.demand_rps.get() + f64::from(self.instances) * IDLE_WEIGHT_RPS
    }
}

/// Returns the mean of two groups' rows, weighted by their demand.
fn mean_row(one: &ServiceView, two: &ServiceView) -> BTreeMap<RegionId, Share> {
    let total = one.row_weight() + two.row_weight();
    let mut mean: BTreeMap<RegionId, Share> = BTreeMap::new();
    for group in [one, two] {
        for (region, share) in &group.row {
            let sum = mean.entry(region.clone()).or_default();
            let part = share.get() * group.row_weight() / total;
            *sum = Share::clamped(sum.get() + part);
        }
    }
    mean
}
