//! Derives the inputs of a region's limits from a view of the fleet.

use super::options::SteeringOptions;
use super::view::{
    FleetView,
    RegionView, //
};
use crate::ids::RegionId;
use crate::limits::{
    Claim,
    Claims,
    LimitInput,
    LimitUse, //
};
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// The floors of instances, as shares of a sold rate.
pub(super) struct Floors {
    instances: f64,
    regions: f64,
    local_share: f64,
}

impl Floors {
    pub(super) fn new(options: &SteeringOptions, regions: usize) -> Self {
        Self {
            instances: f64::from(options.instances_per_region_max.max(1)),
            regions: regions.max(1) as f64,
            local_share: options.local_floors_share,
        }
    }

    /// Returns the floor of an instance in `origin` as a share of a region's rate.
    pub(super) fn region_share(&self, origin: &RegionId, region: &RegionId) -> f64 {
        let of_origin = if origin == region {
            self.local_share
        } else {
            (1.0 - self.local_share) / self.regions
        };
        of_origin / self.instances
    }

    /// Returns the floor of an instance as a share of a link's rate.
    pub(super) fn link_share(&self) -> f64 {
        1.0 / self.instances
    }
}

/// Computes [`LimitInput`]s for one region from an instance's view.
pub(super) struct LimitInputs<'a> {
    view: &'a FleetView,
    region: &'a RegionId,
    stale_before: MonotonicTime,
}

impl<'a> LimitInputs<'a> {
    pub(super) fn new(
        view: &'a FleetView,
        region: &'a RegionId,
        view_age_max: Duration,
        now: MonotonicTime,
    ) -> Self {
        Self {
            view,
            region,
            stale_before: now.saturating_sub(view_age_max),
        }
    }

    pub(super) fn region_input(
        &self,
        sold: RequestRate,
        own: &RegionId,
        floor_share: impl Fn(&RegionId) -> f64,
    ) -> LimitInput {
        let mut all = Claims::default();
        let mut reserved_share = 0.0;
        for (origin, source) in &self.view.regions {
            let limit_use = self.limit_use(source);
            all.add(limit_use.claim);
            let others = source
                .known_instances
                .saturating_sub(limit_use.region_sharers);
            reserved_share += f64::from(others) * floor_share(origin);
        }
        LimitInput {
            sold,
            floor: RequestRate::clamped(sold.get() * floor_share(own)),
            reserved: RequestRate::clamped(sold.get() * reserved_share),
            claims: all,
            is_only_instance: self.view.is_alone(),
            has_stale_claims: self
                .view
                .regions
                .values()
                .any(|source| self.is_stale(source)),
        }
    }

    pub(super) fn link_input(
        &self,
        sold: RequestRate,
        own: &RegionId,
        floor_share: f64,
    ) -> LimitInput {
        let mut all = Claims::default();
        let source = self.view.regions.get(own);
        let limit_use = source
            .map(|source| self.limit_use(source))
            .unwrap_or_default();
        all.add(limit_use.claim);
        let known = source.map_or(0, |source| source.known_instances);
        let others = known.saturating_sub(limit_use.link_sharers);
        let floor_rps = sold.get() * floor_share;
        LimitInput {
            sold,
            floor: RequestRate::clamped(floor_rps),
            reserved: RequestRate::clamped(floor_rps * f64::from(others)),
            claims: all,
            is_only_instance: self.view.is_alone(),
            has_stale_claims: source.is_some_and(|source| self.is_stale(source)),
        }
    }

    fn limit_use(&self, source: &RegionView) -> LimitUse {
        source.limits.get(self.region).copied().unwrap_or_default()
    }

    /// Returns whether any claim of a source region on the region is stale.
    fn is_stale(&self, source: &RegionView) -> bool {
        let claims = self.limit_use(source).claim != Claim::default();
        claims && source.oldest_at < self.stale_before
    }
}

/// The live and known instances that share a limit.
pub(super) struct InstanceCounts {
    pub(super) live: u32,
    pub(super) known: u32,
}

/// Counts the instances of a region, or of all regions if it has none.
pub(super) fn instance_counts(view: &FleetView, region: &RegionId) -> InstanceCounts {
    let here = view
        .regions
        .get(region)
        .filter(|here| here.known_instances > 0);
    let counted: Vec<&RegionView> = match here {
        Some(here) => vec![here],
        None => view.regions.values().collect(),
    };
    InstanceCounts {
        live: counted.iter().map(|region| region.live_instances).sum(),
        known: counted.iter().map(|region| region.known_instances).sum(),
    }
}
