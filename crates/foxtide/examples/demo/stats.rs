//! Outcomes, writes and latencies of the callers' requests.

use parking_lot::Mutex;
use std::collections::BTreeMap;

/// The outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outcome {
    /// The complete answer to this request was received.
    Answered,
    /// The answer says that the request did not run.
    NotRun,
    /// The answer says that the request may have run.
    Unknown,
    /// The instance refused the connection.
    Unreachable,
    /// The connection failed, or no complete answer came in time.
    Cut,
    /// The answer is malformed or belongs to another request.
    Wrong,
}

/// A write with its idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    pub(crate) outcome: Outcome,
}

/// Statistics of all callers of a tenant.
#[derive(Debug, Default)]
pub(crate) struct CallerStats {
    outcomes: Mutex<BTreeMap<Outcome, u64>>,
    writes: Mutex<Vec<Write>>,
    latencies_us: Mutex<Vec<u64>>,
    rejection_reasons: Mutex<BTreeMap<String, u64>>,
}

impl CallerStats {
    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        *self.outcomes.lock().entry(outcome).or_default() += 1;
    }

    pub(crate) fn record_write(&self, key: String, outcome: Outcome) {
        self.writes.lock().push(Write { key, outcome });
    }

    pub(crate) fn record_rejection_reason(&self, reason: String) {
        *self.rejection_reasons.lock().entry(reason).or_default() += 1;
    }

    pub(crate) fn record_read_latency(&self, latency_us: u64) {
        self.latencies_us.lock().push(latency_us);
    }

    /// Returns the number of requests with this outcome.
    pub(crate) fn outcome_count(&self, outcome: Outcome) -> u64 {
        self.outcomes
            .lock()
            .get(&outcome)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the counts of outcomes and rejection reasons as text.
    pub(crate) fn summary(&self) -> String {
        let outcomes = self.outcomes.lock();
        let parts = outcomes
            .iter()
            .map(|(outcome, count)| format!("{outcome:?} {count}"));
        let parts = parts.collect::<Vec<_>>().join(", ");
        format!("{parts}; reasons {:?}", self.rejection_reasons.lock())
    }

    pub(crate) fn writes(&self) -> Vec<Write> {
        self.writes.lock().clone()
    }

    /// Returns the 99th percentile of the read latency, in milliseconds.
    pub(crate) fn p99_ms(&self) -> f64 {
        let mut latencies = self.latencies_us.lock().clone();
        latencies.sort_unstable();
        let index = latencies.len() * 99 / 100;
        latencies.get(index).map_or(0.0, |us| *us as f64 / 1e3)
    }
}
