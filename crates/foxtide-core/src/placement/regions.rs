//! Distributes the requests of each region over all regions.

use super::demand::ShareShift;
use crate::ids::RegionId;
use std::collections::BTreeMap;

/// Shares of one region's requests, by the region that serves them.
pub type RegionShares = BTreeMap<RegionId, f64>;

/// The share of all requests that only certain regions may serve.
///
/// It depends only on the configuration, so all instances compute the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomedLoad {
    /// Shares by the sorted regions that may serve them.
    shares_by_homes: BTreeMap<Vec<RegionId>, f64>,
}

impl HomedLoad {
    /// Adds a share of all requests that only `homes` may serve.
    pub fn add(&mut self, mut homes: Vec<RegionId>, share: f64) {
        homes.sort();
        *self.shares_by_homes.entry(homes).or_default() += share;
    }

    /// Moves each share towards that of `target`, by at most `step`.
    pub fn step_towards(&mut self, target: &Self, step: f64) {
        for homes in target.shares_by_homes.keys() {
            self.shares_by_homes.entry(homes.clone()).or_default();
        }
        for (homes, share) in &mut self.shares_by_homes {
            let target_share = target
                .shares_by_homes
                .get(homes)
                .copied()
                .unwrap_or_default();
            let difference = target_share - *share;
            *share = if difference.abs() <= step {
                target_share
            } else {
                *share + step.copysign(difference)
            };
        }
        self.shares_by_homes.retain(|_, share| *share > 0.0);
    }

    /// Returns the share of all requests bound to each region. Where several regions
    /// may serve a request, it is divided in proportion to their slots.
    fn by_region(&self, slots: &BTreeMap<RegionId, u32>) -> BTreeMap<&RegionId, f64> {
        let mut by_region: BTreeMap<&RegionId, f64> = BTreeMap::new();
        let slots_of = |region: &RegionId| slots.get(region).copied().map_or(0.0, f64::from);
        for (homes, share) in &self.shares_by_homes {
            let total: f64 = homes.iter().map(slots_of).sum();
            for region in homes {
                if total > 0.0 {
                    *by_region.entry(region).or_default() += share * slots_of(region) / total;
                }
            }
        }
        by_region
    }
}

/// Origins of requests and their restrictions to regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of regions in which requests originate, assumed to have equal load.
    pub origins: usize,
    /// The requests that only certain regions may serve.
    pub homed: HomedLoad,
}

impl Demand {
    /// Returns the demand of `origins` regions without restrictions.
    pub fn unrestricted(origins: usize) -> Self {
        Self {
            origins,
            homed: HomedLoad::default(),
        }
    }
}

/// Returns the shares of the unrestricted requests from `origin` that each region
/// serves.
///
/// `slots` are those of the service in each region. A region serves first the requests
/// that are bound to it, then its own. Requests beyond its capacity go to regions with
/// spare capacity, in proportion to it. The shares depend only on the upstreams and the
/// configuration, so changes in load move no requests.
pub fn region_shares(
    origin: &RegionId,
    slots: &BTreeMap<RegionId, u32>,
    demand: &Demand,
) -> RegionShares {
    let total: f64 = slots.values().copied().map(f64::from).sum();
    if total == 0.0 {
        return RegionShares::new();
    }
    let homed = demand.homed.by_region(slots);
    let homed_total: f64 = homed.values().sum();
    let unrestricted = total * (1.0 - homed_total).max(f64::EPSILON) / demand.origins.max(1) as f64;
    let capacity = |region: &RegionId| {
        let slots = slots.get(region).copied().map_or(0.0, f64::from);
        let homed = homed.get(region).copied().unwrap_or_default();
        (slots - total * homed).max(0.0)
    };
    let own_share = (capacity(origin) / unrestricted).min(1.0);
    let spare = |region: &RegionId| (capacity(region) - unrestricted).max(0.0);
    let spare_total: f64 = slots.keys().map(spare).sum();
    let rest = 1.0 - own_share;
    slots
        .keys()
        .map(|region| {
            let share = if region == origin {
                own_share
            } else if spare_total > 0.0 {
                rest * spare(region) / spare_total
            } else {
                0.0
            };
            (region.clone(), share)
        })
        .collect()
}

/// Weight of a slot in a region without a share; such an upstream ranks last.
const LAST_RESORT_WEIGHT: f64 = 1e-9;

/// Weights of upstreams for requests that originate in one region.
#[derive(Clone, Debug, Default)]
pub struct UpstreamWeights {
    shares: RegionShares,
    slots: BTreeMap<RegionId, u32>,
}

impl UpstreamWeights {
    /// Returns the weights for requests from `origin`; `slots` and `demand` as in
    /// [`region_shares`].
    pub fn new(origin: &RegionId, slots: BTreeMap<RegionId, u32>, demand: &Demand) -> Self {
        Self {
            shares: region_shares(origin, &slots, demand),
            slots,
        }
    }

    /// Returns the weights with shares that follow the demand.
    pub fn shifted(self, shift: &ShareShift) -> Self {
        Self {
            shares: shift.apply(&self.shares),
            slots: self.slots,
        }
    }

    /// Returns the shares of the requests by region.
    pub fn shares(&self) -> &RegionShares {
        &self.shares
    }

    /// Returns the weight of an upstream with `slots` slots in `region`.
    pub fn of(&self, region: &RegionId, slots: u32) -> f64 {
        let of_region = self.slots.get(region).copied().unwrap_or(1).max(1);
        let share = self.shares.get(region).copied().unwrap_or(0.0);
        f64::from(slots) * (share / f64::from(of_region)).max(LAST_RESORT_WEIGHT)
    }
}
