//! How much of its objects a region serves itself.

use crate::ids::RegionId;
use std::collections::BTreeMap;

/// The share of a region's requests that each region serves.
pub type RegionShares = BTreeMap<RegionId, f64>;

/// The part of all requests that only certain regions may serve.
///
/// It follows from the configuration alone, so that all instances know the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomedLoad {
    /// By the regions that may serve them, in the order of their names.
    shares_by_homes: BTreeMap<Vec<RegionId>, f64>,
}

impl HomedLoad {
    /// Adds a part of all requests that `homes` alone may serve.
    pub fn add(&mut self, mut homes: Vec<RegionId>, share: f64) {
        homes.sort();
        *self.shares_by_homes.entry(homes).or_default() += share;
    }

    /// Moves each part towards that of `target`, by `step` at most.
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

    /// Returns the part of all requests that is homed in each region: where several may
    /// serve it, by their slots.
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

/// Where requests arise, and what of them is bound to regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The number of regions in which requests arise, taken as alike in size.
    pub origins: usize,
    /// The requests that only certain regions may serve.
    pub homed: HomedLoad,
}

impl Demand {
    /// Returns the demand of `origins` regions whose requests any region may serve.
    pub fn unbound(origins: usize) -> Self {
        Self {
            origins,
            homed: HomedLoad::default(),
        }
    }
}

/// Returns how the requests that arise in `origin`, and that all regions of `slots` may
/// serve, are spread over these regions.
///
/// `slots` are those of the service in each region. A region serves first what is homed
/// there, and then its own as far as its slots reach; what it is short of goes to those
/// that have more than their own requests need, in proportion to what they have left. The
/// shares change only with the upstreams and the configuration, so that no request moves
/// on account of load alone.
///
/// A region with a tenth of the slots, in which an organisation is at home that has a tenth
/// of the traffic, is twice as loaded as the others where that is left out of account:
/// `docs/design/shifted.md` has the figures.
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
    let unbound = total * (1.0 - homed_total).max(f64::EPSILON) / demand.origins.max(1) as f64;
    let capacity = |region: &RegionId| {
        let slots = slots.get(region).copied().map_or(0.0, f64::from);
        let homed = homed.get(region).copied().unwrap_or_default();
        (slots - total * homed).max(0.0)
    };
    let own_share = (capacity(origin) / unbound).min(1.0);
    let spare = |region: &RegionId| (capacity(region) - unbound).max(0.0);
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

/// The weight of a slot in a region that has no share of the requests: such an upstream
/// comes after all others.
const LAST_RESORT_WEIGHT: f64 = 1e-9;

/// The part of the objects that arise in one region which goes to each upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamWeights {
    shares: RegionShares,
    slots: BTreeMap<RegionId, u32>,
}

impl UpstreamWeights {
    /// Returns the weights for requests that arise in `origin`; `slots` and `demand` as in
    /// [`region_shares`].
    pub fn new(origin: &RegionId, slots: BTreeMap<RegionId, u32>, demand: &Demand) -> Self {
        Self {
            shares: region_shares(origin, &slots, demand),
            slots,
        }
    }

    /// Returns the share of the requests that each region serves.
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
