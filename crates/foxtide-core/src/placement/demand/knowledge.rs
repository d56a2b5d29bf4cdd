//! What an instance knows of the demand in all regions.

use super::{
    BusySlots,
    DemandByService,
    RegionHash,
    ServiceDemand,
    ServiceHash, //
};
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

/// The age at which a sum is no longer believed. Within that time the pace of the shares and the
/// window of the meter make a change of demand small.
pub const SUM_AGE_MAX: Duration = Duration::from_secs(5);

/// The latest sums of regions, with the times at which they were computed.
#[derive(Clone, Debug, Default)]
pub struct RegionSums {
    /// Services arrive in separate messages, so each has a time of its own.
    services: BTreeMap<(RegionHash, ServiceHash), (MonotonicTime, ServiceDemand)>,
    /// The newest time of each region, also if it has no demand.
    regions: BTreeMap<RegionHash, MonotonicTime>,
}

impl RegionSums {
    /// Takes some services of a region's sum, unless newer ones are known.
    pub fn merge(&mut self, region: RegionHash, summed_at: MonotonicTime, demand: DemandByService) {
        let newest = self.regions.entry(region).or_insert(summed_at);
        *newest = (*newest).max(summed_at);
        for (service, demand) in demand {
            let known = self.services.entry((region, service));
            let known = known.or_insert_with(|| (summed_at, ServiceDemand::default()));
            if known.0 <= summed_at {
                *known = (summed_at, demand);
            }
        }
    }

    /// Drops sums that are too old.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.services
            .retain(|_, (summed_at, _)| now - *summed_at <= SUM_AGE_MAX);
        self.regions
            .retain(|_, summed_at| now - *summed_at <= SUM_AGE_MAX);
    }

    /// Returns the sums of regions with their ages, for other instances. Services of a region that
    /// are older than its newest sum are separate, so that no age shrinks on the way.
    pub fn with_ages(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (RegionHash, Duration, DemandByService)> {
        let newest = self.regions.iter();
        let mut sums: BTreeMap<(RegionHash, MonotonicTime), DemandByService> = newest
            .map(|(region, summed_at)| ((*region, *summed_at), DemandByService::new()))
            .collect();
        for ((region, service), (summed_at, demand)) in &self.services {
            if now - *summed_at <= SUM_AGE_MAX {
                let sum = sums.entry((*region, *summed_at)).or_default();
                sum.insert(*service, demand.clone());
            }
        }
        let sums = sums.into_iter();
        sums.map(move |((region, summed_at), demand)| (region, now - summed_at, demand))
    }

    /// Returns the latest sum of a region, unless it is too old.
    pub fn of(&self, region: RegionHash, now: MonotonicTime) -> Option<DemandByService> {
        let newest = self.regions.get(&region)?;
        if now - *newest > SUM_AGE_MAX {
            return None;
        }
        let sums = self.with_ages(now).filter(|(of, ..)| *of == region);
        Some(sums.flat_map(|(_, _, demand)| demand).collect())
    }

    /// Returns the demand in `regions`, in coarse steps, so that instances that received slightly
    /// different sums compute the same shares; `None` unless the sums of all of these are recent.
    pub fn known(&self, regions: &BTreeSet<RegionHash>, now: MonotonicTime) -> Option<KnownDemand> {
        let is_recent = |region: &RegionHash| {
            let summed_at = self.regions.get(region);
            summed_at.is_some_and(|summed_at| now - *summed_at <= SUM_AGE_MAX)
        };
        if regions.is_empty() || !regions.iter().all(is_recent) {
            return None;
        }
        let mut services: BTreeMap<ServiceHash, DemandByOrigin> = BTreeMap::new();
        for (region, _, demand) in self.with_ages(now) {
            if regions.contains(&region) {
                for (service, demand) in demand {
                    let origins = services.entry(service).or_default();
                    origins.insert(region, demand.rounded());
                }
            }
        }
        Some(KnownDemand { services })
    }
}

/// The demand for one service, by the region of the callers.
pub type DemandByOrigin = BTreeMap<RegionHash, ServiceDemand>;

/// The demand in all regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownDemand {
    services: BTreeMap<ServiceHash, DemandByOrigin>,
}

impl KnownDemand {
    /// Returns the demand for a service; `None` if it has none.
    pub fn of(&self, service: ServiceHash) -> Option<&DemandByOrigin> {
        self.services.get(&service)
    }

    /// Returns the demand of one region's callers for a service.
    pub fn slots_of(&self, service: ServiceHash, region: RegionHash) -> BusySlots {
        let demand = self.of(service).and_then(|origins| origins.get(&region));
        demand.map_or(BusySlots::ZERO, ServiceDemand::total)
    }
}
