//! The parameters of a simulation and the summary of its results.

use super::upstream::UpstreamProfile;
use std::time::Duration;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) instances: usize,
    pub(crate) upstreams: Vec<UpstreamProfile>,
    /// The offered load, as a share of the upstreams' capacity.
    pub(crate) load: f64,
    pub(crate) idempotent: bool,
    pub(crate) duration: Duration,
    /// The time from the start that the summary excludes.
    pub(crate) warm_up: Duration,
    pub(crate) deadline: Duration,
    /// The longest time that a request may wait at an instance.
    pub(crate) wait_max: Duration,
    /// The one-way delay between an instance and an upstream.
    pub(crate) delay: Duration,
    /// The time after which a request is hedged; `None` disables hedging.
    pub(crate) hedge_delay: Option<Duration>,
    /// The load in the first of every four seconds, as a multiple of the mean.
    pub(crate) burst_factor: f64,
    /// The share of the mean run time that every request takes; the rest is
    /// exponential.
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

/// The results of a scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Summary {
    pub(crate) latencies_us: Vec<u64>,
    pub(crate) offered: u64,
    pub(crate) given_up: u64,
    pub(crate) attempts: u64,
    pub(crate) rejected_attempts: u64,
    /// The rate of answers in time, as a share of the upstreams' capacity.
    pub(crate) goodput: f64,
    /// The time from an upstream's death to the last request sent to it.
    pub(crate) last_sent_to_dead: Option<Duration>,
}

impl Summary {
    /// Adds the results of another run of the same scenario.
    pub(crate) fn merge(&mut self, other: Self) {
        self.latencies_us.extend(other.latencies_us);
        self.offered += other.offered;
        self.given_up += other.given_up;
        self.attempts += other.attempts;
        self.rejected_attempts += other.rejected_attempts;
        self.goodput += other.goodput;
        self.last_sent_to_dead = self.last_sent_to_dead.max(other.last_sent_to_dead);
    }

    /// Returns a quantile of the latency, in milliseconds.
    pub(crate) fn quantile_ms(&mut self, quantile: f64) -> f64 {
        self.latencies_us.sort_unstable();
        let last = self.latencies_us.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        self.latencies_us.get(index).copied().unwrap_or(0) as f64 / 1e3
    }

    pub(crate) fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn given_up_share(&self) -> f64 {
        self.given_up as f64 / self.offered.max(1) as f64
    }

    pub(crate) fn rejections_per_request(&self) -> f64 {
        self.rejected_attempts as f64 / self.offered.max(1) as f64
    }
}
