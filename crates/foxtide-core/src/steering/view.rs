//! Reports that instances exchange, and the view of the fleet built from them.

use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::limits::LimitUse;
use crate::time::MonotonicTime;
use crate::units::{
    RequestRate,
    Share, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The report of an instance to its peers, for one organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The reports by service.
    pub services: BTreeMap<ServiceId, ServiceReport>,
    /// The reports by origin and service for callers of other regions that use the
    /// instance.
    #[serde(default)]
    pub foreign: BTreeMap<RegionId, BTreeMap<ServiceId, ServiceReport>>,
    /// The instance's use of each region's limits.
    pub limits: BTreeMap<RegionId, LimitUse>,
}

/// The report of an instance on one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The demand of its callers.
    pub demand_rps: RequestRate,
    /// The healthy share of the service's upstreams in the instance's own
    /// region; `None` if it has observed none.
    pub healthy_share: Option<Share>,
    /// The share of its requests that it sends to each region.
    pub row: BTreeMap<RegionId, Share>,
}

/// A report with its origin and time.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// The region of the reporting instance.
    pub origin: &'a RegionId,
    /// When it was made, on the reader's clock; must not be later than the actual time.
    pub made_at: MonotonicTime,
    /// The report.
    pub report: &'a InstanceReport,
}

/// The age limits of the reports in a view.
#[derive(Clone, Copy, Debug)]
pub struct ViewOptions {
    /// The maximum age of the report of a live instance.
    pub view_age_max: Duration,
    /// The maximum age of a report whose claims count.
    pub claim_hold: Duration,
}

impl Default for ViewOptions {
    fn default() -> Self {
        let options = super::SteeringOptions::default();
        Self {
            view_age_max: options.view_age_max,
            claim_hold: options.claim_hold,
        }
    }
}

/// The view that one instance has of all instances, including itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// When the view was built, on the reader's clock.
    pub measured_at: MonotonicTime,
    /// The views by region.
    pub regions: BTreeMap<RegionId, RegionView>,
}

/// The view of the instances of one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionView {
    /// When the oldest counted report was made, on the reader's clock.
    pub oldest_at: MonotonicTime,
    /// The number of instances whose claims count.
    pub counted_instances: u32,
    /// The number of instances with a recent report.
    pub live_instances: u32,
    /// The number of instances, live or silent, that are not known to have stopped.
    pub known_instances: u32,
    /// The views by service.
    pub services: BTreeMap<ServiceId, ServiceView>,
    /// The views by service for callers of other regions, which use these
    /// instances while their own region has none.
    pub foreign: BTreeMap<RegionId, BTreeMap<ServiceId, ServiceView>>,
    /// The sum of their use of each region's limits.
    pub limits: BTreeMap<RegionId, LimitUse>,
}

/// The view of one service in one origin region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// The number of instances that reported.
    pub instances: u32,
    /// The demand summed over these instances.
    pub demand_rps: RequestRate,
    /// The healthy share of the service's upstreams in this region.
    pub healthy_share: Option<Share>,
    /// The mean row of these instances, weighted by demand.
    pub row: BTreeMap<RegionId, Share>,
}

impl FleetView {
    /// Builds a view from the newest report of every instance, including the
    /// reader's own.
    ///
    /// The last report of a silent instance must be passed in until the instance
    /// is known to have stopped, or at least for [`ViewOptions::claim_hold`].
    pub fn from_reports<'a>(
        reports: impl IntoIterator<Item = ReceivedReport<'a>>,
        options: ViewOptions,
        now: MonotonicTime,
    ) -> Self {
        let mut view = Self {
            measured_at: now,
            regions: BTreeMap::new(),
        };
        for received in reports {
            let region = view.regions.entry(received.origin.clone()).or_default();
            region.add(received, options, now);
        }
        view
    }

    /// Raises a region's known instances to the number in the platform's list,
    /// which includes instances that have never reported.
    pub fn add_listed(&mut self, origin: &RegionId, listed_instances: u32) {
        if listed_instances > 0 {
            let region = self.regions.entry(origin.clone()).or_default();
            region.known_instances = region.known_instances.max(listed_instances);
        }
    }

    /// Returns the views of a region's callers by instances of other regions.
    pub(crate) fn foreign(&self, origin: &RegionId) -> BTreeMap<ServiceId, ServiceView> {
        let mut sum: BTreeMap<ServiceId, ServiceView> = BTreeMap::new();
        let regions = self.regions.values();
        for services in regions.filter_map(|region| region.foreign.get(origin)) {
            for (id, service) in services {
                sum.entry(id.clone()).or_default().merge(service);
            }
        }
        sum
    }

    /// Returns whether more than half of all known instances are live, or the
    /// reader is the only instance.
    pub fn sees_majority(&self) -> bool {
        let regions = self.regions.values();
        let live: u64 = regions.map(|region| u64::from(region.live_instances)).sum();
        live * 2 > self.known_instances() || self.is_alone()
    }

    /// Returns whether no instance other than the reader is known.
    pub fn is_alone(&self) -> bool {
        self.known_instances() <= 1
    }

    fn known_instances(&self) -> u64 {
        let regions = self.regions.values();
        regions
            .map(|region| u64::from(region.known_instances))
            .sum()
    }
}

impl RegionView {
    fn add(&mut self, received: ReceivedReport<'_>, options: ViewOptions, now: MonotonicTime) {
        self.known_instances += 1;
        let age = now.since(received.made_at);
        if age > options.claim_hold {
            return;
        }
        if self.counted_instances == 0 || received.made_at < self.oldest_at {
            self.oldest_at = received.made_at;
        }
        self.counted_instances += 1;
        let is_live = age <= options.view_age_max;
        for (region, limit) in &received.report.limits {
            let limit = if is_live { *limit } else { limit.claim_only() };
            let sum = self.limits.entry(region.clone()).or_default();
            *sum = sum.plus(limit);
        }
        if !is_live {
            return;
        }
        self.live_instances += 1;
        add_services(&mut self.services, &received.report.services);
        for (origin, services) in &received.report.foreign {
            add_services(self.foreign.entry(origin.clone()).or_default(), services);
        }
    }
}

/// The views by service.
type ServiceViews = BTreeMap<ServiceId, ServiceView>;

fn add_services(views: &mut ServiceViews, reports: &BTreeMap<ServiceId, ServiceReport>) {
    for (id, report) in reports {
        views.entry(id.clone()).or_default().add(report);
    }
}

/// The weight of an idle instance's row, in requests per second.
pub(super) const IDLE_WEIGHT_RPS: f64 = 0.01;

impl ServiceView {
    fn add(&mut self, report: &ServiceReport) {
        // The highest share wins: an instance that reports unhealthy upstreams
        // may itself be partitioned from them.
        self.healthy_share = match (self.healthy_share, report.healthy_share) {
            (Some(known), Some(new)) if new < known => Some(known),
            (known, new) => new.or(known),
        };
        if !report.row.is_empty() {
            self.add_row(report);
        }
        self.instances += 1;
        let demand_rps = self.demand_rps.get() + report.demand_rps.get();
        self.demand_rps = RequestRate::clamped(demand_rps);
    }

    fn add_row(&mut self, report: &ServiceReport) {
        let weight_before = self.demand_rps.get() + f64::from(self.instances) * IDLE_WEIGHT_RPS;
        let weight = report.demand_rps.get() + IDLE_WEIGHT_RPS;
        let new_part = weight / (weight_before + weight);
        for mean in self.row.values_mut() {
            *mean = Share::clamped(mean.get() * (1.0 - new_part));
        }
        for (region, share) in &report.row {
            let mean = self.row.entry(region.clone()).or_default();
            *mean = Share::clamped(mean.get() + share.get() * new_part);
        }
    }
}
