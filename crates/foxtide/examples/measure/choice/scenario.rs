//! What is simulated and what came of it.

use super::upstream::UpstreamProfile;
use std::time::Duration;

/// What is simulated.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) instances: usize,
    pub(crate) upstreams: Vec<UpstreamProfile>,
    /// The requests offered, as a part of what the upstreams can serve.
    pub(crate) load: f64,
    pub(crate) idempotent: bool,
    pub(crate) duration: Duration,
    /// The time from the beginning that is not counted.
    pub(crate) warm_up: Duration,
    pub(crate) deadline: Duration,
    /// How long a request may wait at an instance.
    pub(crate) wait_max: Duration,
    /// The delay one way between an instance and an upstream.
    pub(crate) delay: Duration,
    /// How long a request is given before a second attempt; none: no hedging.
    pub(crate) hedge_delay: Option<Duration>,
    /// The load in one second of each four, as a multiple of the mean load.
    pub(crate) burst_factor: f64,
    /// The part of the mean run time that every request takes.
    pub(crate) fixed_run_share: f64,
    pub(crate) seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            instances: 10,
            upstreams: Vec::new(),
            load: 0.9,
            idempotent: true,
            duration: Duration::from_secs(20),
            warm_up: Duration::from_secs(2),
            deadline: Duration::from_secs(2),
            wait_max: Duration::from_millis(40),
            delay: Duration::from_micros(500),
            hedge_delay: None,
            burst_factor: 1.0,
            fixed_run_share: 0.8,
            seed: 0,
        }
    }
}

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) latencies_us: Vec<u64>,
    pub(crate) offered: u64,
    pub(crate) given_up: u64,
    pub(crate) attempts: u64,
    pub(crate) rejected_attempts: u64,
    /// Answers in time, as a part of what the upstreams can serve.
    pub(crate) goodput: f64,
    /// When the last new request was sent to an upstream after its death.
    pub(crate) last_sent_to_dead: Option<Duration>,
}

impl Summary {
    /// Adds another run of the same scenario.
    pub(crate) fn merge(&mut self, other: Self) {
        self.latencies_us.extend(other.latencies_us);
        self.offered += other.offered;
        self.given_up += other.given_up;
        self.attempts += other.attempts;
        self.rejected_attempts += other.rejected_attempts;
        self.goodput += other.goodput;
        self.last_sent_to_dead = self.last_sent_to_dead.max(other.last_sent_to_dead);
    }

    /// Returns a quantile of the answers' latencies, in milliseconds.
    pub(crate) fn quantile_ms(&mut self, quantile: f64) -> f64 {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        self.latencies_us.get(index).copied().unwrap_or(0) as f64 / 1e3
    }

    /// Returns the attempts a request.
    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.offered.max(1) as f64
    }

    /// Returns the part of the requests that were given up.
    pub(crate) fn given_up_share(&self) -> f64 {
        self.given_up as f64 / self.offered.max(1) as f64
    }

    /// Returns the refused attempts a request.
    pub(crate) fn rejections_per_request(&self) -> f64 {
        self.rejected_attempts as f64 / self.offered.max(1) as f64
    }
}
