//! What an upstream remembers of the requests that it received.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{
    Duration,
    Instant, //
};

/// The time over which the reported rate is taken.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// One request that began to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The request's `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The request's `foxtide-request-id`.
    pub request_id: Option<String>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Who sent it.
    pub caller: IpAddr,
    /// When it was received.
    pub received_at: Instant,
}

/// Counts over everything that an upstream received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStats {
    /// The requests that it received, without those for health and load.
    pub received: u64,
    /// The requests that began to run.
    pub ran: u64,
    /// The requests that it refused without running them.
    pub shed: u64,
    /// The requests whose callers hung up while they ran.
    pub cancelled: u64,
    /// The connections that it refused because it had too many.
    pub connections_refused: u64,
    /// The requests that run now.
    pub running: u32,
    /// The requests that wait for a slot now.
    pub waiting: u32,
    /// The most requests that ran at the same time.
    pub running_peak: u32,
    /// The most requests that waited at the same time.
    pub waiting_peak: u32,
}

/// The records and counts of one upstream.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) stats: UpstreamStats,
    pub(super) runs: Vec<RunRecord>,
    received_at: Vec<Instant>,
    recent: VecDeque<Instant>,
}

impl Records {
    /// Notes that a request came.
    pub(super) fn record_received(&mut self, now: Instant) {
        self.stats.received += 1;
        self.received_at.push(now);
    }

    /// Notes that a request waits for a slot.
    pub(super) fn start_waiting(&mut self) {
        self.stats.waiting += 1;
        self.stats.waiting_peak = self.stats.waiting_peak.max(self.stats.waiting);
    }

    /// Notes that a request no longer waits.
    pub(super) fn stop_waiting(&mut self) {
        self.stats.waiting -= 1;
    }

    /// Notes that a request begins to run.
    pub(super) fn start_run(&mut self, record: RunRecord, now: Instant) {
        self.runs.push(record);
        self.recent.push_back(now);
        self.stats.ran += 1;
        self.stats.running += 1;
        self.stats.running_peak = self.stats.running_peak.max(self.stats.running);
    }

    /// Notes that a request no longer runs.
    pub(super) fn end_run(&mut self) {
        self.stats.running -= 1;
    }

    /// Returns the number of requests that came after a time.
    pub(super) fn received_after(&self, after: Instant) -> usize {
        let later = self.received_at.iter().filter(|at| **at > after);
        later.count()
    }

    /// Returns the requests that began to run in the last second.
    pub(super) fn rate_rps(&mut self, now: Instant) -> f64 {
        while let Some(first) = self.recent.front()
            && now.duration_since(*first) > RATE_WINDOW
        {
            self.recent.pop_front();
        }
        self.recent.len() as f64
    }
}
