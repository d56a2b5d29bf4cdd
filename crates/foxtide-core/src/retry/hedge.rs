//! Hedged attempts and the delay before them.

use std::time::Duration;

/// The quantile of the latency that is estimated.
const QUANTILE: f64 = 0.95;

/// The step size of the estimate, as a share of it.
const STEP_SHARE: f64 = 0.02;

/// The estimate before the first sample.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Estimates the 95th percentile of a service's latency without storing samples.
///
/// Each slower response raises the estimate by a fixed share and each faster one lowers it
/// by a smaller share, so that the two balance at the quantile. Source: Ma, Muthukrishnan
/// and Sandler, "Frugal Streaming for Estimating Quantiles", 2013.
#[derive(Clone, Debug)]
pub struct HedgeDelay {
    estimate_us: f64,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            estimate_us: INITIAL_DELAY.as_micros() as f64,
        }
    }
}

impl HedgeDelay {
    /// Returns an estimate that begins at a latency.
    pub fn starting_at(latency: Duration) -> Self {
        Self {
            estimate_us: (latency.as_micros() as f64).max(1.0),
        }
    }

    /// Records the latency of a response.
    pub fn record(&mut self, latency: Duration) {
        let slower = latency.as_micros() as f64 > self.estimate_us;
        let step = if slower { QUANTILE } else { QUANTILE - 1.0 };
        self.estimate_us = (self.estimate_us * (1.0 + STEP_SHARE * step)).max(1.0);
    }

    /// Returns the time to wait before a hedge is sent.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.estimate_us as u64)
    }
}

/// Tells whether a request whose only attempt is running may get a second one beside it; `attempts`
/// counts the running one.
pub fn may_hedge(is_idempotent: bool, attempts: u32, attempts_max: u32) -> bool {
    is_idempotent && attempts == 1 && attempts < attempts_max
}
