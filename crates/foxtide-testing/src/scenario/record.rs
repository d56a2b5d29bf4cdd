//! What a scenario writes down, for its promises to be checked against.

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

/// The width of a bucket of a [`Series`].
pub(super) const BUCKET: Duration = Duration::from_millis(100);

/// How many buckets make up a second.
const BUCKETS_PER_S: usize = 10;

/// How often something happened, over time.
#[derive(Clone, Debug, Default)]
pub(super) struct Series {
    buckets: Vec<u32>,
}

impl Series {
    /// Counts one.
    pub(super) fn count(&mut self, at: MonotonicTime) {
        let index = bucket_index(at);
        if index >= self.buckets.len() {
            self.buckets.resize(index + 1, 0);
        }
        self.buckets[index] += 1;
    }

    /// Returns the most in any second, and when that second began.
    pub(super) fn busiest_second(&self) -> Option<(u32, MonotonicTime)> {
        let starts = 0..self.buckets.len();
        let seconds = starts.map(|start| (self.sum_second(start), start));
        let (most, start) = seconds.max_by_key(|(count, start)| (*count, usize::MAX - start))?;
        Some((most, bucket_start(start)))
    }

    /// Returns the sum from one time to another.
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

/// Where an instance's requests of a service go, at one moment.
#[derive(Clone, Debug)]
pub(super) struct RowSample {
    pub(super) at: MonotonicTime,
    pub(super) instance: InstanceId,
    /// The region of the instance.
    pub(super) origin: RegionId,
    pub(super) service: ServiceId,
    /// The requests that its callers sent in the second before.
    pub(super) arrivals: u32,
    /// The share that goes to each region.
    pub(super) row: BTreeMap<RegionId, f64>,
}

/// Whose requests went where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Route {
    pub(super) service: ServiceId,
    pub(super) origin: RegionId,
    pub(super) target: RegionId,
}

/// A revision that operators were told is accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AcceptedRevision {
    pub(super) revision: Revision,
    pub(super) at: MonotonicTime,
}

/// A time in which something was wrong with a region on purpose.
#[derive(Clone, Debug)]
pub(super) struct RegionFault {
    pub(super) region: RegionId,
    pub(super) from: MonotonicTime,
    /// When it was mended; not yet if `None`.
    pub(super) to: Option<MonotonicTime>,
}

/// Everything that a scenario writes down.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// The attempts that reached each region.
    pub(super) regions: BTreeMap<RegionId, Series>,
    /// The attempts that crossed each link.
    pub(super) links: BTreeMap<LinkId, Series>,
    /// The attempts by route.
    pub(super) routes: BTreeMap<Route, Series>,
    /// The requests by service and region of their instance.
    pub(super) requests: BTreeMap<(ServiceId, RegionId), Series>,
    /// The attempts at each upstream.
    pub(super) upstreams: BTreeMap<UpstreamId, Series>,
    /// Where requests went, each second.
    pub(super) rows: Vec<RowSample>,
    /// The requests that reached each instance since the last sample.
    pub(super) arrivals: BTreeMap<(InstanceId, ServiceId), u32>,
    /// The revisions that were accepted.
    pub(super) accepted: Vec<AcceptedRevision>,
    /// When the drain of each leaving upstream was accepted.
    pub(super) drains: BTreeMap<UpstreamId, MonotonicTime>,
    /// How many planned stops there were.
    pub(super) planned_stops: u32,
    /// How many requests were refused as not run, by reason.
    pub(super) rejections: BTreeMap<String, u32>,
    /// What was wrong on purpose.
    pub(super) region_faults: Vec<RegionFault>,
    /// Breaches that were seen as they happened.
    pub(super) violations: Violations,
}

/// Breaches of promises that are checked as things happen.
#[derive(Debug, Default)]
pub(super) struct Violations {
    /// Requests sent to upstreams that were leaving.
    pub(super) sent_to_draining: Vec<String>,
    /// Requests that a planned stop cut off.
    pub(super) aborted_by_stop: Vec<String>,
    /// Instances on which a revision was late.
    pub(super) late_revisions: Vec<String>,
    /// Instances on which a revision went back.
    pub(super) reverted_revisions: Vec<String>,
    /// Callers that got the answer to another request.
    pub(super) wrong_answers: Vec<String>,
    /// Requests that were refused later than at once.
    pub(super) late_rejections: Vec<String>,
}

impl Record {
    /// Counts an attempt that reaches its upstream.
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

    /// Notes that something is wrong with a region from now on.
    pub(super) fn begin_region_fault(&mut self, region: &RegionId, now: MonotonicTime) {
        self.region_faults.push(RegionFault {
            region: region.clone(),
            from: now,
            to: None,
        });
    }

    /// Notes that a region is whole again.
    pub(super) fn end_region_fault(&mut self, region: &RegionId, now: MonotonicTime) {
        let open = self.region_faults.iter_mut();
        let open = open.filter(|span| span.region == *region && span.to.is_none());
        open.for_each(|span| span.to = Some(now));
    }

    /// Tells whether something was wrong with a region in this time.
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
