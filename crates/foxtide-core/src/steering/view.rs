//! What instances tell one another, and what one of them knows of all.

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

/// What an instance tells its peers, for one organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// What it knows of each service.
    pub services: BTreeMap<ServiceId, ServiceReport>,
    /// The same of the callers of other regions that use it.
    #[serde(default)]
    pub foreign: BTreeMap<RegionId, BTreeMap<ServiceId, ServiceReport>>,
    /// How it uses each region's limits.
    pub limits: BTreeMap<RegionId, LimitUse>,
}

/// What an instance tells of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// What its callers ask for.
    pub demand_rps: RequestRate,
    /// The healthy part of the service's upstreams in the instance's own
    /// region; `None` where it has seen none.
    pub healthy_share: Option<Share>,
    /// The share of its requests that it sends to each region.
    pub row: BTreeMap<RegionId, Share>,
}

/// A report with where and when it came from.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// The region of the instance that made it.
    pub origin: &'a RegionId,
    /// When it was made, on the reader's clock; later than true is unsafe.
    pub made_at: MonotonicTime,
    /// What it says.
    pub report: &'a InstanceReport,
}

/// How old the reports of a view may be.
#[derive(Clone, Copy, Debug)]
pub struct ViewOptions {
    /// Up to this age the maker counts as heard.
    pub view_age_max: Duration,
    /// Up to this age its claims are counted.
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

/// What one instance knows of all, itself included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// When it was put together, on the reader's clock.
    pub measured_at: MonotonicTime,
    /// What is known of the instances of each region.
    pub regions: BTreeMap<RegionId, RegionView>,
}

/// What is known of the instances of one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionView {
    /// When the oldest report counted in here was made, on the reader's clock.
    pub oldest_at: MonotonicTime,
    /// How many instances have their claims counted.
    pub counted_instances: u32,
    /// How many instances have been heard of late.
    pub live_instances: u32,
    /// How many instances are not known to have ended, heard or not.
    pub known_instances: u32,
    /// What they say of each service.
    pub services: BTreeMap<ServiceId, ServiceView>,
    /// What they say of the callers of other regions, which come to them when
    /// these regions' own instances are gone.
    pub foreign: BTreeMap<RegionId, BTreeMap<ServiceId, ServiceView>>,
    /// How they use each region's limits, all together.
    pub limits: BTreeMap<RegionId, LimitUse>,
}

/// What is known of one service in one origin region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// How many instances the figures come from.
    pub instances: u32,
    /// What callers ask of all instances there.
    pub demand_rps: RequestRate,
    /// The healthy part of the service's upstreams in this region.
    pub healthy_share: Option<Share>,
    /// The mean row of the instances there, weighted by their demand.
    pub row: BTreeMap<RegionId, Share>,
}

impl FleetView {
    /// Puts a view together from the newest report of every instance, the
    /// reader's own included.
    ///
    /// Silent instances' reports must be handed in until they are known to
    /// have ended, or for [`ViewOptions::claim_hold`] at least; they count as
    /// known all that time.
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

    /// Takes over how many instances the platform's list names in a region,
    /// so that those count as known that have never been heard.
    pub fn add_listed(&mut self, origin: &RegionId, listed_instances: u32) {
        if listed_instances > 0 {
            let region = self.regions.entry(origin.clone()).or_default();
            region.known_instances = region.known_instances.max(listed_instances);
        }
    }

    /// Returns what is told of a region's callers by instances elsewhere.
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

    /// Tells whether more than half of all known instances have been heard, or
    /// there is none but the reader.
    pub fn sees_majority(&self) -> bool {
        let regions = self.regions.values();
        let live: u64 = regions.map(|region| u64::from(region.live_instances)).sum();
        live * 2 > self.known_instances() || self.is_alone()
    }

    /// Tells whether neither the members nor the platform's list name any
    /// other instance.
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

/// What is known of each service.
type ServiceViews = BTreeMap<ServiceId, ServiceView>;

fn add_services(views: &mut ServiceViews, reports: &BTreeMap<ServiceId, ServiceReport>) {
    for (id, report) in reports {
        views.entry(id.clone()).or_default().add(report);
    }
}

/// The weight of an idle instance's row, in requests a second.
pub(super) const IDLE_WEIGHT_RPS: f64 = 0.01;

impl ServiceView {
    fn add(&mut self, report: &ServiceReport) {
        // One instance that sees an upstream healthy is proof; one that sees
        // it broken may itself be cut off.
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
