//! How much of its objects a region serves itself.

use crate::ids::RegionId;
use std::collections::BTreeMap;

/// The share of a region's requests that each region serves.
pub type RegionShares = BTreeMap<RegionId, f64>;

/// Returns how the requests that arise in `origin` are spread over regions.
///
/// `slots` are those of the service in each region that may serve, and
/// `origins` the number of regions in which requests arise, taken as alike in
/// size. A region serves its own as far as its slots reach; what it is short
/// of goes to those that have more than their own requests need, in proportion
/// to what they have left. The shares change only as upstreams come and go, so
/// that no request moves on account of load alone.
pub fn shares_of(
    origin: &RegionId,
    slots: &BTreeMap<RegionId, u32>,
    origins: usize,
) -> RegionShares {
    let total: f64 = slots.values().copied().map(f64::from).sum();
    let demand = total / origins.max(1) as f64;
    let own = slots.get(origin).copied().map_or(0.0, f64::from);
    if total == 0.0 {
        return RegionShares::new();
    }
    let own_share = (own / demand).min(1.0);
    let spare = |slots: u32| (f64::from(slots) - demand).max(0.0);
    let spare_total: f64 = slots.values().copied().map(spare).sum();
    let rest = 1.0 - own_share;
    slots
        .iter()
        .map(|(region, &slots)| {
            let share = if region == origin {
                own_share
            } else if spare_total > 0.0 {
                rest * spare(slots) / spare_total
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
    /// Returns the weights for requests that arise in `origin`; `slots` and `origins` as
    /// in [`shares_of`].
    pub fn new(origin: &RegionId, slots: BTreeMap<RegionId, u32>, origins: usize) -> Self {
        Self {
            shares: shares_of(origin, &slots, origins),
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
