//! Sums up the demand of a region's instances.

use super::{
    ServiceDemand,
    ServiceHash, //
};
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::net::SocketAddr;
use std::time::Duration;

/// The age at which a report no longer counts: two in a row may be lost.
const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// The part of a region's instances that have to report for their sum to count.
const REPORTING_PART_MIN: f64 = 2.0 / 3.0;

/// The demand for each service.
pub type DemandByService = BTreeMap<ServiceHash, ServiceDemand>;

/// The reports that an aggregator has received from the instances of its region.
#[derive(Clone, Debug, Default)]
pub struct RegionAggregate {
    /// A report may arrive in several messages, each with some of the services.
    reports: HashMap<SocketAddr, BTreeMap<ServiceHash, (MonotonicTime, ServiceDemand)>>,
    /// When each instance last reported, also without any demand.
    reported_at: HashMap<SocketAddr, MonotonicTime>,
}

impl RegionAggregate {
    /// Takes the report of an instance.
    pub fn report(&mut self, from: SocketAddr, demand: DemandByService, now: MonotonicTime) {
        self.reported_at.insert(from, now);
        let services = self.reports.entry(from).or_default();
        for (service, demand) in demand {
            services.insert(service, (now, demand));
        }
    }

    /// Returns the age of the newest report of each instance.
    pub fn report_ages(&self, now: MonotonicTime) -> impl Iterator<Item = (SocketAddr, Duration)> {
        let ages = self.reported_at.iter();
        ages.map(move |(from, reported_at)| (*from, now - *reported_at))
    }

    /// Returns the sum over the region's instances, of which there are `members` according to
    /// the store; `None` if more than a third of them do not report.
    ///
    /// The store removes instances that have ended, so those that are only cut off from the
    /// aggregator are still expected to report.
    pub fn sum(&mut self, members: usize, now: MonotonicTime) -> Option<DemandByService> {
        self.drop_old(now);
        let reporting = self.reported_at.len();
        if reporting == 0 || (reporting as f64) < members as f64 * REPORTING_PART_MIN {
            return None;
        }
        let mut sum = DemandByService::new();
        for services in self.reports.values() {
            for (service, (_, demand)) in services {
                sum.entry(*service).or_default().add(demand);
            }
        }
        Some(sum)
    }

    fn drop_old(&mut self, now: MonotonicTime) {
        let is_recent = |at: MonotonicTime| now - at < REPORT_AGE_MAX;
        self.reported_at.retain(|_, at| is_recent(*at));
        for services in self.reports.values_mut() {
            services.retain(|_, (at, _)| is_recent(*at));
        }
        self.reports.retain(|_, services| !services.is_empty());
    }
}
