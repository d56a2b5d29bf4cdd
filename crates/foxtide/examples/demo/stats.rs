//! What the demo's callers saw.

use parking_lot::Mutex;
use std::collections::BTreeMap;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The whole answer to the caller's own request came.
    Answered,
    /// The request surely did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No connection to the instance could be opened.
    Unreachable,
    /// The connection ended before the answer did.
    Cut,
    /// An answer came that is not the caller's, or not whole.
    Wrong,
}

/// A write that was given up as not run, or answered.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    pub(crate) outcome: Outcome,
}

/// Counts over all callers of a tenant.
#[derive(Debug, Default)]
pub(crate) struct CallerStats {
    outcomes: Mutex<BTreeMap<Outcome, u64>>,
    writes: Mutex<Vec<Write>>,
    latencies_us: Mutex<Vec<u64>>,
    rejection_reasons: Mutex<BTreeMap<String, u64>>,
}

impl CallerStats {
    /// Counts one request's end.
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        *self.outcomes.lock().entry(outcome).or_default() += 1;
    }

    /// Notes how a write ended.
    pub(crate) fn record_write(&self, key: String, outcome: Outcome) {
        self.writes.lock().push(Write { key, outcome });
    }

    /// Counts the reason that a refusal gave.
    pub(crate) fn record_rejection_reason(&self, reason: String) {
        *self.rejection_reasons.lock().entry(reason).or_default() += 1;
    }

    /// Notes the time of an answered read.
    pub(crate) fn record_read_latency(&self, latency_us: u64) {
        self.latencies_us.lock().push(latency_us);
    }

    /// Returns how many requests ended so.
    pub(crate) fn outcome_count(&self, outcome: Outcome) -> u64 {
        self.outcomes
            .lock()
            .get(&outcome)
            .copied()
            .unwrap_or_default()
    }

    /// Returns all counts, for people.
    pub(crate) fn summary(&self) -> String {
        let outcomes = self.outcomes.lock();
        let parts = outcomes
            .iter()
            .map(|(outcome, count)| format!("{outcome:?} {count}"));
        let parts = parts.collect::<Vec<_>>().join(", ");
        format!("{parts}; reasons {:?}", self.rejection_reasons.lock())
    }

    /// Returns all writes.
    pub(crate) fn writes(&self) -> Vec<Write> {
        self.writes.lock().clone()
    }

    /// Returns the 99th percentile of the latency of reads, in milliseconds.
    pub(crate) fn p99_ms(&self) -> f64 {
        let mut latencies = self.latencies_us.lock().clone();
        latencies.sort_unstable();
        let index = latencies.len() * 99 / 100;
        latencies.get(index).map_or(0.0, |us| *us as f64 / 1e3)
    }
}
