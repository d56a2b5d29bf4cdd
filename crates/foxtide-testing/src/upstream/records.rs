//! Records and counts the requests that an upstream received.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{
    Duration,
    Instant, //
};

/// The window of the reported request rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A request that started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The request's `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The request's `foxtide-request-id`.
    pub request_id: Option<String>,
    /// The request's method.
    pub method: String,
    /// The request's path and query.
    pub path: String,
    /// The caller's address.
    pub caller: IpAddr,
    /// When the request was received.
    pub received_at: Instant,
}

/// Request and connection counts of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamStats {
    /// The requests received, excluding those for health and load.
    pub received: u64,
    /// The requests that started to run.
    pub ran: u64,
    /// The requests refused without running.
    pub shed: u64,
    /// The requests whose caller disconnected while they ran.
    pub cancelled: u64,
    /// The connections refused because of the connection limit.
    pub connections_refused: u64,
    /// The requests currently running.
    pub running: u32,
    /// The requests currently waiting for a slot.
    pub waiting: u32,
    /// The maximum number of concurrently running requests.
    pub running_peak: u32,
    /// The maximum number of concurrently waiting requests.
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
    pub(super) fn record_received(&mut self, now: Instant) {
        self.stats.received += 1;
        self.received_at.push(now);
    }

    pub(super) fn start_waiting(&mut self) {
        self.stats.waiting += 1;
        self.stats.waiting_peak = self.stats.waiting_peak.max(self.stats.waiting);
    }

    pub(super) fn stop_waiting(&mut self) {
        self.stats.waiting -= 1;
    }

    pub(super) fn start_run(&mut self, record: RunRecord, now: Instant) {
        self.runs.push(record);
        self.recent.push_back(now);
        self.stats.ran += 1;
        self.stats.running += 1;
        self.stats.running_peak = self.stats.running_peak.max(self.stats.running);
    }

    pub(super) fn end_run(&mut self) {
        self.stats.running -= 1;
    }

    /// Returns the number of requests received after a time.
    pub(super) fn received_after(&self, after: Instant) -> usize {
        let later = self.received_at.iter().filter(|at| **at > after);
        later.count()
    }

    /// Returns the rate of requests that started, over [`RATE_WINDOW`].
    pub(super) fn rate_rps(&mut self, now: Instant) -> f64 {
        while let Some(first) = self.recent.front()
            && now.duration_since(*first) > RATE_WINDOW
        {
            self.recent.pop_front();
        }
        self.recent.len() as f64
    }
}
