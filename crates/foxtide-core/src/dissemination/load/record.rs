//! The aggregated load of a group of instances.

use crate::ids::{
    OrganisationId,
    RegionId, //
};
use crate::steering::{
    FleetView,
    InstanceReport,
    ReceivedReport,
    RegionView,
    ViewOptions, //
};
use crate::time::{
    MonotonicTime,
    WallTime, //
};

/// Typical encoded size of a record without its lists.
const RECORD_BYTES: usize = 34;

/// Typical encoded size of a service's figures without its row.
const SERVICE_BYTES: usize = 16;

/// Encoded size of one region's share.
const REGION_BYTES: usize = 3;

/// Typical encoded size of the use of one region's limits.
const LIMIT_BYTES: usize = 7;

/// The sum of the reports of some instances of a region for one organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRecord {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The region of the instances.
    pub region: RegionId,
    /// The time of the summation.
    pub summed_at: WallTime,
    /// The time of the oldest report in the sum.
    pub oldest_at: WallTime,
    /// The time of the oldest report of an instance that counts as live.
    pub oldest_live_at: WallTime,
    /// The sum; its `oldest_at` is unused.
    pub sum: RegionView,
}

impl LoadRecord {
    /// Creates the record of a single instance.
    pub(super) fn of_instance(
        organisation: &OrganisationId,
        region: &RegionId,
        report: &InstanceReport,
        made_at: WallTime,
    ) -> Self {
        let received = ReceivedReport {
            origin: region,
            made_at: MonotonicTime::ZERO,
            report,
        };
        let options = ViewOptions::default();
        let view = FleetView::from_reports([received], options, MonotonicTime::ZERO);
        let mut regions = view.regions;
        let sum = regions.remove(region).unwrap_or_default();
        Self {
            organisation: organisation.clone(),
            region: region.clone(),
            summed_at: made_at,
            oldest_at: made_at,
            oldest_live_at: made_at,
            sum,
        }
    }

    /// Adds another record to the sum.
    pub(super) fn merge(&mut self, other: &Self) {
        self.oldest_at = self.oldest_at.min(other.oldest_at);
        self.oldest_live_at = match (self.sum.live_instances, other.sum.live_instances) {
            (_, 0) => self.oldest_live_at,
            (0, _) => other.oldest_live_at,
            _ => self.oldest_live_at.min(other.oldest_live_at),
        };
        self.sum.merge(&other.sum);
    }

    /// Raises the claims to at least those of the previous record.
    pub(super) fn raise_claims_to(&mut self, before: &Self) {
        for (region, limit) in &before.sum.limits {
            let own = self.sum.limits.entry(region.clone()).or_default();
            own.claim = own.claim.max(limit.claim);
        }
    }

    /// Lowers the numbers of sharers by claim to at most those of the previous record.
    pub(super) fn lower_sharers_to(&mut self, before: &Self) {
        for (region, limit) in &mut self.sum.limits {
            let before = before.sum.limits.get(region).copied();
            *limit = limit.with_sharers_of(before.unwrap_or_default());
        }
    }

    /// Stops counting the instances as live; their claims still count.
    pub(super) fn exclude_from_live(&mut self) {
        self.sum.make_silent();
    }

    /// Estimates the encoded size in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        let foreign = self
            .sum
            .foreign
            .values()
            .flat_map(|services| services.values());
        let services = self.sum.services.values().chain(foreign);
        let services_bytes: usize = services
            .map(|service| SERVICE_BYTES + service.row.len() * REGION_BYTES)
            .sum();
        RECORD_BYTES + services_bytes + self.sum.limits.len() * LIMIT_BYTES
    }
}
