//! Observations of a run, against which the promises are checked.

use foxtide_core::ids::{
    InstanceId,
    LinkId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::Revision;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bucket width of a [`Series`].
pub(super) const BUCKET: Duration = Duration::from_millis(100);

const BUCKETS_PER_S: usize = 10;

/// Number of events over time, in buckets.
#[derive(Clone, Debug, Default)]
pub(super) struct Series {
    buckets: Vec<u32>,
}

impl Series {
    /// Counts one event.
    pub(super) fn count(&mut self, at: MonotonicTime) {
        let index = bucket_index(at);
        if index >= self.buckets.len() {
            self.buckets.resize(index + 1, 0);
        }
        self.buckets[index] += 1;
    }

    /// Returns the highest count in any second and the start of the first such second.
    pub(super) fn busiest_second(&self) -> Option<(u32, MonotonicTime)> {
        let starts = 0..self.buckets.len();
        let seconds = starts.map(|start| (self.sum_second(start), start));
        let (most, start) = seconds.max_by_key(|(count, start)| (*count, usize::MAX - start))?;
        Some((most, bucket_start(start)))
    }

    /// Returns the number of events from one time to another.
    pub(super) fn sum_between(&self, from: MonotonicTime, to: MonotonicTime) -> u32 {
        let end = bucket_index(to).min(self.buckets.len());
        let start = bucket_index(from).min(end);
        self.buckets[start..end].iter().sum()
    }

    fn sum_second(&self, start: usize) -> u32 {
        let end = (start + BUCKETS_PER_S).min(self.buckets.len());
        self.buckets[start..end].iter().sum()
    }
}

fn bucket_index(at: MonotonicTime) -> usize {
    let buckets = (at - MonotonicTime::ZERO).as_millis() / BUCKET.as_millis();
    usize::try_from(buckets).unwrap_or(usize::MAX)
}

fn bucket_start(bucket: usize) -> MonotonicTime {
    MonotonicTime::from_ms(bucket as u64 * BUCKET.as_millis() as u64)
}

/// Distribution over the regions that an instance uses for a service at one time.
#[derive(Clone, Debug)]
pub(super) struct RowSample {
    pub(super) at: MonotonicTime,
    pub(super) instance: InstanceId,
    /// Region of the instance.
    pub(super) origin: RegionId,
    pub(super) service: ServiceId,
    /// Number of requests that it received in the second before.
    pub(super) arrivals: u32,
    /// Share of each region.
    pub(super) row: BTreeMap<RegionId, f64>,
}

/// Requests of a service from instances in one region to upstreams in another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Route {
    pub(super) service: ServiceId,
    pub(super) origin: RegionId,
    pub(super) target: RegionId,
}

/// A revision that was reported as accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedRevision {
    pub(super) revision: Revision,
    pub(super) at: MonotonicTime,
}

/// Period of an injected fault in a region.
#[derive(Clone, Debug)]
pub(super) struct RegionFault {
    pub(super) region: RegionId,
    pub(super) from: MonotonicTime,
    /// `None` while the fault lasts.
    pub(super) to: Option<MonotonicTime>,
}

/// Observations of a run.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// Attempts that arrived in each region.
    pub(super) regions: BTreeMap<RegionId, Series>,
    /// Attempts that crossed each link.
    pub(super) links: BTreeMap<LinkId, Series>,
    /// Attempts on each route.
    pub(super) routes: BTreeMap<Route, Series>,
    /// Requests received, by service and region of the instance.
    pub(super) requests: BTreeMap<(ServiceId, RegionId), Series>,
    /// Attempts that arrived at each upstream.
    pub(super) upstreams: BTreeMap<UpstreamId, Series>,
    /// Samples of all instances, once a second.
    pub(super) rows: Vec<RowSample>,
    /// Requests that each instance received since the last sample.
    pub(super) arrivals: BTreeMap<(InstanceId, ServiceId), u32>,
    /// Accepted revisions, oldest first.
    pub(super) accepted: Vec<AcceptedRevision>,
    /// Time at which the drain of each draining upstream was accepted.
    pub(super) drains: BTreeMap<UpstreamId, MonotonicTime>,
    /// Number of graceful shutdowns of instances and upstreams.
    pub(super) planned_stops: u32,
    /// Number of requests that were rejected without running, by reason.
    pub(super) rejections: BTreeMap<String, u32>,
    pub(super) region_faults: Vec<RegionFault>,
    /// Violations that were detected during the run.
    pub(super) violations: Violations,
}

/// Violations of the promises that are checked during the run.
#[derive(Debug, Default)]
pub(super) struct Violations {
    /// Requests sent to draining upstreams.
    pub(super) sent_to_draining: Vec<String>,
    /// Requests aborted by a graceful shutdown.
    pub(super) aborted_by_stop: Vec<String>,
    /// Instances that applied a revision too late.
    pub(super) late_revisions: Vec<String>,
    /// Instances that replaced a revision by an older one.
    pub(super) reverted_revisions: Vec<String>,
    /// Callers that received the response to another request.
    pub(super) wrong_answers: Vec<String>,
    /// Requests that were rejected only after a long wait.
    pub(super) late_rejections: Vec<String>,
}

impl Record {
    /// Counts an attempt that arrives at its upstream.
    pub(super) fn count_attempt(
        &mut self,
        route: &Route,
        upstream: &UpstreamId,
        now: MonotonicTime,
    ) {
        let region = self.regions.entry(route.target.clone());
        region.or_default().count(now);
        if route.origin != route.target {
            let link = LinkId {
                from: route.origin.clone(),
                to: route.target.clone(),
            };
            self.links.entry(link).or_default().count(now);
        }
        let upstream = self.upstreams.entry(upstream.clone());
        upstream.or_default().count(now);
        self.routes.entry(route.clone()).or_default().count(now);
    }

    pub(super) fn begin_region_fault(&mut self, region: &RegionId, now: MonotonicTime) {
        self.region_faults.push(RegionFault {
            region: region.clone(),
            from: now,
            to: None,
        });
    }

    /// Ends all current faults of a region.
    pub(super) fn end_region_fault(&mut self, region: &RegionId, now: MonotonicTime) {
        let open = self.region_faults.iter_mut();
        let open = open.filter(|span| span.region == *region && span.to.is_none());
        open.for_each(|span| span.to = Some(now));
    }

    /// Returns whether a fault of the region overlaps this period.
    pub(super) fn had_region_fault(
        &self,
        region: &RegionId,
        from: MonotonicTime,
        to: MonotonicTime,
    ) -> bool {
        let overlaps = |span: &&RegionFault| {
            span.from <= to && span.to.is_none_or(|end| end >= from) && span.region == *region
        };
        self.region_faults.iter().any(|span| overlaps(&span))
    }
}
