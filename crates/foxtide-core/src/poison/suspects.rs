//! Counts the upstreams that ended under each request.

use super::Fingerprint;
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// The delay before a request is retried after an upstream ended under it. It exceeds the time in
/// which reports and quarantines spread within a region, and the time between the first and the
/// last end of a failing zone. Without it, a request that ends upstreams at once ends as many as it
/// is sent to.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The time for which ends are retained after the last report.
const RETENTION: Duration = Duration::from_secs(600);

/// The number of ends that are evidence against a request.
pub(super) const END_THRESHOLD: usize = 3;

/// The capacity of the table; the least recently reported request is evicted for a new one.
const SUSPECTS_MAX: usize = 4_096;

/// A report that an upstream ended while running a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the upstream was started, which distinguishes its incarnations.
    pub born_at: Option<WallTime>,
    /// Whether a region did not acknowledge the report, so that ends there may be uncounted.
    pub is_isolated: bool,
}

/// Options of [`Suspects`].
///
/// All requests in flight at an ended upstream are counted alike: an unrelated one is served when
/// it is retried, which clears its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceOptions {
    /// The number of ends, without the request being served in between, at which it is
    /// quarantined.
    pub end_threshold: usize,
    /// The same if a region did not acknowledge one of the ends: regions that are cut off from each
    /// other add up.
    pub isolated_end_threshold: usize,
}

impl Default for EvidenceOptions {
    fn default() -> Self {
        Self {
            end_threshold: END_THRESHOLD,
            isolated_end_threshold: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    ends: Vec<End>,
    reported_at: MonotonicTime,
}

#[derive(Clone, Debug)]
struct End {
    upstream: UpstreamId,
    born_at: Option<WallTime>,
    is_isolated: bool,
}

/// The requests under which upstreams ended, as counted by one aggregator.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    options: EvidenceOptions,
    suspects: HashMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Returns an empty table.
    pub fn new(options: EvidenceOptions) -> Self {
        Self {
            options,
            suspects: HashMap::new(),
        }
    }

    /// Records an end; returns the number of ends if the request is to be quarantined.
    pub fn report(&mut self, report: &EndReport, now: MonotonicTime) -> Option<u32> {
        let fingerprint = report.fingerprint;
        if self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            ends: Vec::new(),
            reported_at: now,
        });
        suspect.reported_at = now;
        if !suspect.add(report) {
            return None;
        }
        // Later ends are returned too, as an instance may have missed the quarantine.
        let ends = suspect.ends.len();
        let threshold = match suspect.ends.iter().any(|end| end.is_isolated) {
            true => self.options.isolated_end_threshold,
            false => self.options.end_threshold,
        };
        (ends >= threshold).then_some(ends as u32)
    }

    /// Returns the known ends under a request.
    pub fn reports(&self, fingerprint: Fingerprint) -> Vec<EndReport> {
        let suspect = self.suspects.get(&fingerprint);
        let ends = suspect.map_or(&[][..], |suspect| &suspect.ends);
        let reports = ends.iter().map(|end| EndReport {
            fingerprint,
            upstream: end.upstream.clone(),
            born_at: end.born_at,
            is_isolated: end.is_isolated,
        });
        reports.collect()
    }

    /// Clears the ends of a request that was served.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Removes the requests whose last report is too old.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.suspects
            .retain(|_, suspect| now - suspect.reported_at < RETENTION);
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.reported_at);
        if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    /// Adds an end; returns whether it is news, as several instances may report the same one.
    fn add(&mut self, report: &EndReport) -> bool {
        let is_same =
            |end: &&mut End| end.upstream == report.upstream && end.born_at == report.born_at;
        if let Some(end) = self.ends.iter_mut().find(is_same) {
            let is_news = report.is_isolated && !end.is_isolated;
            end.is_isolated |= report.is_isolated;
            return is_news;
        }
        self.ends.push(End {
            upstream: report.upstream.clone(),
            born_at: report.born_at,
            is_isolated: report.is_isolated,
        });
        true
    }
}
