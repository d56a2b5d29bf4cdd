//! Computes regional shares from the demand of all regions.

use super::{
    DemandByOrigin,
    KindHash,
    RegionHash,
    ServiceDemand, //
};
use crate::ids::RegionId;
use crate::placement::RegionShares;
use std::collections::BTreeMap;
use std::time::Duration;

/// The utilisation up to which a region serves its own requests.
///
/// Another region costs a round trip of 70 ms. At an upstream with three slots and service times of
/// 0.1 s, a request that finds all slots busy waits 83 ms on average at this utilisation (M/M/3;
/// 0.35 of the requests do), so above it staying near costs more than leaving.
const NEAR_UTILISATION: f64 = 0.6;

/// The slots of a service in each region and the demand for it.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad<'a> {
    /// The slots of the service in each region.
    pub slots: &'a BTreeMap<RegionId, u32>,
    /// The demand by the region of the callers.
    pub demand: &'a DemandByOrigin,
    /// The latency objectives of the kinds; a kind without one comes last.
    pub objectives: &'a BTreeMap<KindHash, Duration>,
}

/// The shares of one region's requests for a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindShares {
    by_kind: BTreeMap<KindHash, RegionShares>,
    /// The shares of all kinds together.
    together: RegionShares,
}

impl KindShares {
    /// Returns the shares of a kind; those of small kinds, or of all kinds together, if its demand
    /// is not known.
    pub fn of(&self, kind: KindHash) -> &RegionShares {
        let named = self.by_kind.get(&kind);
        let named = named.or_else(|| self.by_kind.get(&KindHash::OTHERS));
        named.unwrap_or(&self.together)
    }

    /// Returns the shares of all kinds together.
    pub fn together(&self) -> &RegionShares {
        &self.together
    }
}

/// Returns the shares of the unrestricted requests from `origin` by kind; `None` if fewer than two
/// regions have slots.
///
/// A region serves first the requests that are bound to it, then its own ones up to
/// [`NEAR_UTILISATION`] or the utilisation of all regions together, whichever is higher. The
/// kinds with the tightest objectives are the first to stay. The rest goes to other regions in
/// proportion to the slots that they have unused at that utilisation.
pub fn demand_shares(origin: &RegionId, load: &ServiceLoad<'_>) -> Option<KindShares> {
    if load.slots.values().filter(|slots| **slots > 0).count() < 2 {
        return None;
    }
    let balance = Balance::new(load);
    let far = balance.far_weights(origin);
    let shares = |near: f64| shares_with(origin, load.slots, near, &far);
    let capacity = balance.capacity(origin);
    let own = balance.own(origin);
    let near_together = if own > 0.0 {
        (capacity / own).min(1.0)
    } else if capacity > 0.0 {
        1.0
    } else {
        0.0
    };
    let mut left = capacity;
    let mut by_kind = BTreeMap::new();
    for (kind, demanded) in kinds_by_objective(origin, load) {
        let near = demanded.min(left);
        left -= near;
        by_kind.insert(kind, shares(near / demanded));
    }
    Some(KindShares {
        by_kind,
        together: shares(near_together),
    })
}

/// Returns the kinds that the callers of `origin` demand, the tightest objective first.
fn kinds_by_objective(origin: &RegionId, load: &ServiceLoad<'_>) -> Vec<(KindHash, f64)> {
    let demand = load.demand.get(&RegionHash::of(origin));
    let kinds = demand.into_iter().flat_map(|demand| &demand.kinds);
    let kinds = kinds.map(|(kind, slots)| (*kind, slots.get()));
    let mut kinds: Vec<(KindHash, f64)> = kinds.filter(|(_, slots)| *slots > 0.0).collect();
    let objective = |kind: &KindHash| load.objectives.get(kind).copied().unwrap_or(Duration::MAX);
    kinds.sort_by_key(|(kind, _)| (objective(kind), *kind));
    kinds
}

/// The capacity and the own demand of the regions of a service.
struct Balance<'a> {
    load: &'a ServiceLoad<'a>,
    homed: BTreeMap<RegionHash, f64>,
    /// The utilisation up to which regions serve their own requests.
    bound: f64,
}

impl<'a> Balance<'a> {
    fn new(load: &'a ServiceLoad<'a>) -> Self {
        let mut homed: BTreeMap<RegionHash, f64> = BTreeMap::new();
        for demand in load.demand.values() {
            for (home, slots) in &demand.homed {
                *homed.entry(*home).or_default() += slots.get();
            }
        }
        let demanded = load.demand.values().map(|demand| demand.total().get());
        let slots: f64 = load.slots.values().copied().map(f64::from).sum();
        // At least two regions have slots.
        let utilisation = demanded.sum::<f64>() / slots;
        Self {
            load,
            homed,
            bound: utilisation.max(NEAR_UTILISATION),
        }
    }

    /// Returns the demand of a region's callers that any region may serve.
    fn own(&self, region: &RegionId) -> f64 {
        let demand = self.load.demand.get(&RegionHash::of(region));
        demand.map_or(0.0, |demand: &ServiceDemand| demand.unrestricted().get())
    }

    /// Returns what a region may serve of the requests that are not bound to it.
    fn capacity(&self, region: &RegionId) -> f64 {
        let slots = self.load.slots.get(region).copied().map_or(0.0, f64::from);
        let homed = self.homed.get(&RegionHash::of(region)).copied();
        (slots * self.bound - homed.unwrap_or_default()).max(0.0)
    }

    /// Returns the parts of the other regions in the requests that leave `origin`; they sum to 1.
    fn far_weights(&self, origin: &RegionId) -> BTreeMap<&'a RegionId, f64> {
        let unused = |region: &RegionId| (self.capacity(region) - self.own(region)).max(0.0);
        let slots = |region: &RegionId| f64::from(self.load.slots[region]);
        // Capacities exceed the demand unless bound requests overload a region.
        self.normalised(origin, unused)
            .or_else(|| self.normalised(origin, |region| self.capacity(region)))
            .or_else(|| self.normalised(origin, slots))
            .unwrap_or_default()
    }

    fn normalised(
        &self,
        origin: &RegionId,
        weight: impl Fn(&RegionId) -> f64,
    ) -> Option<BTreeMap<&'a RegionId, f64>> {
        let others = self.load.slots.keys().filter(|region| *region != origin);
        let weights: Vec<(&RegionId, f64)> =
            others.map(|region| (region, weight(region))).collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        if total <= f64::EPSILON {
            return None;
        }
        let part = |(region, weight)| (region, weight / total);
        Some(weights.into_iter().map(part).collect())
    }
}

fn shares_with(
    origin: &RegionId,
    slots: &BTreeMap<RegionId, u32>,
    near: f64,
    far: &BTreeMap<&RegionId, f64>,
) -> RegionShares {
    let share = |region: &RegionId| {
        if region == origin {
            near
        } else {
            (1.0 - near) * far.get(region).copied().unwrap_or_default()
        }
    };
    let regions = slots.keys();
    regions
        .map(|region| (region.clone(), share(region)))
        .collect()
}
