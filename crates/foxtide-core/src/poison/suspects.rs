//! The requests under which upstreams have ended.

use super::Fingerprint;
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// How long the repeat of a request waits under which an upstream has ended, for the reports
/// of ends and the quarantine to arrive within a region, also at instances that share their
/// core. Where nothing waits, a request that ends upstreams at once ends as many as it is
/// sent to. It is also longer than a zone takes to be lost, in which a request that is
/// repeated at once meets one upstream after the other as it ends. Of the requests that a
/// lost upstream takes down, which is all that waits, each is served later by this much.
pub const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long ends are remembered: upstreams that end for other causes are hours apart.
const RETENTION: Duration = Duration::from_secs(600);

/// The most requests that are remembered: what all instances report in a minute in which a
/// zone is lost, on deployments of today.
const SUSPECTS_MAX: usize = 4_096;

/// An upstream has ended under a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EndReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the upstream had started.
    pub born_at: Option<WallTime>,
}

/// From how many ends a request is quarantined that was not served in between.
///
/// What else was under way at the upstreams makes no difference: a request that just happened
/// to be there is repeated elsewhere and served, which clears it. Weighing an end by the
/// other requests there adds up too slowly under load, and two ends alone quarantine ten
/// times as many of the others (model, 40 and 300 seeds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceOptions {
    /// The ends.
    pub end_threshold: usize,
}

impl Default for EvidenceOptions {
    fn default() -> Self {
        Self { end_threshold: 3 }
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
}

/// The requests whose ends one instance adds up.
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

    /// Takes in that an upstream has ended under a request; returns how many have, where the
    /// request is to be quarantined.
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
        // Further ends are returned as well: an instance may not know of the quarantine.
        let ends = suspect.ends.len();
        (ends >= self.options.end_threshold).then_some(ends as u32)
    }

    /// Returns the known ends under a request.
    pub fn reports(&self, fingerprint: Fingerprint) -> Vec<EndReport> {
        let suspect = self.suspects.get(&fingerprint);
        let ends = suspect.map_or(&[][..], |suspect| &suspect.ends);
        let reports = ends.iter().map(|end| EndReport {
            fingerprint,
            upstream: end.upstream.clone(),
            born_at: end.born_at,
        });
        reports.collect()
    }

    /// Takes in that a request was served: it is not the one.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Forgets what is long past.
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
    /// Adds an end; tells whether it was not known. Each instance that had the request there
    /// reports it.
    fn add(&mut self, report: &EndReport) -> bool {
        let is_same = |end: &End| end.upstream == report.upstream && end.born_at == report.born_at;
        if self.ends.iter().any(is_same) {
            return false;
        }
        self.ends.push(End {
            upstream: report.upstream.clone(),
            born_at: report.born_at,
        });
        true
    }
}
