//! The requests under which upstreams have ended.

use super::Fingerprint;
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// From how much evidence on a request is held back: two upstreams that ended under it while
/// nothing else was under way there, or three under it and another one. A request that just
/// happened to be there is repeated elsewhere and served, which clears it; of other contents
/// one in five hundred is there twice in a row (model of load, 200 seeds).
const GUILTY_FROM: f64 = 1.5;

/// From how many ends on, however likely it was the cause: one alone tells nothing.
const ENDS_MIN: usize = 2;

/// Upstreams that end within this time have a cause in common, such as a zone that is lost:
/// a request that is repeated meanwhile meets the next of them. Without this one in two
/// hundred that are under way then is held back.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(80);

/// How long the repeat of a request waits under which an upstream has ended. An end sooner
/// than [`COMMON_CAUSE_TIME`] after the one before is no evidence; what is left is for the
/// news of ends and verdicts to arrive within a region, also at instances that share their
/// core. Where nothing waits, a request that ends upstreams at once has ended six, on as
/// many as it was sent to, before two ends count as two. Of the requests that a lost
/// upstream takes down, which is all that waits, each is served later by this much.
pub const REPEAT_WAIT: Duration = Duration::from_millis(100);

/// How long ends are remembered: upstreams that end for other causes are hours apart.
const MEMORY_TIME: Duration = Duration::from_secs(600);

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
    /// How likely it was that request, from 0 to 1.
    pub likelihood: f64,
}

#[derive(Clone, Debug)]
struct Suspect {
    ends: Vec<End>,
    is_quarantined: bool,
    reported_at: MonotonicTime,
}

#[derive(Clone, Debug)]
struct End {
    upstream: UpstreamId,
    born_at: Option<WallTime>,
    /// The highest likelihood that was reported.
    likelihood: f64,
    at: MonotonicTime,
}

/// The requests whose ends one instance adds up.
#[derive(Clone, Debug, Default)]
pub struct Suspects(HashMap<Fingerprint, Suspect>);

impl Suspects {
    /// Takes in that an upstream has ended under a request; returns how many have, where the
    /// request is to be quarantined.
    pub fn report(&mut self, report: &EndReport, now: MonotonicTime) -> Option<u32> {
        if self.0.len() >= SUSPECTS_MAX && !self.0.contains_key(&report.fingerprint) {
            self.forget_oldest();
        }
        let suspect = self.0.entry(report.fingerprint).or_insert(Suspect {
            ends: Vec::new(),
            is_quarantined: false,
            reported_at: now,
        });
        suspect.reported_at = now;
        let is_new = suspect.add(report, now);
        if !is_new || !(suspect.is_quarantined || suspect.is_guilty()) {
            return None;
        }
        // Each further end is told: an instance may not know of the quarantine.
        suspect.is_quarantined = true;
        Some(suspect.ends.len() as u32)
    }

    /// Takes in that a request was served: it is not the one.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Forgets what is long past.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.0
            .retain(|_, suspect| now - suspect.reported_at < MEMORY_TIME);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, suspect)| suspect.reported_at);
        if let Some(oldest) = oldest.map(|(&fingerprint, _)| fingerprint) {
            self.0.remove(&oldest);
        }
    }
}

impl Suspect {
    /// Adds an end; tells whether it was not known. Each instance that had the request there
    /// reports it.
    fn add(&mut self, report: &EndReport, now: MonotonicTime) -> bool {
        let mut ends = self.ends.iter_mut();
        let known =
            ends.find(|end| end.upstream == report.upstream && end.born_at == report.born_at);
        if let Some(end) = known {
            let is_more = report.likelihood > end.likelihood;
            end.likelihood = end.likelihood.max(report.likelihood);
            return is_more;
        }
        self.ends.push(End {
            upstream: report.upstream.clone(),
            born_at: report.born_at,
            likelihood: report.likelihood,
            at: now,
        });
        true
    }

    fn is_guilty(&self) -> bool {
        // Ends come in their order; of those with a common cause the likeliest counts.
        let mut causes: Vec<(MonotonicTime, f64)> = Vec::new();
        for end in &self.ends {
            match causes.last_mut() {
                Some((since, likelihood)) if end.at - *since < COMMON_CAUSE_TIME => {
                    *likelihood = likelihood.max(end.likelihood);
                }
                _ => causes.push((end.at, end.likelihood)),
            }
        }
        let evidence: f64 = causes.iter().map(|(_, likelihood)| likelihood).sum();
        causes.len() >= ENDS_MIN && evidence >= GUILTY_FROM
    }
}
