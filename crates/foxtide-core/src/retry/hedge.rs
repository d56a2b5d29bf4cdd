//! When a second attempt is worth sending beside the first.

use std::time::Duration;

/// The part of the answers that come before the hedge is sent.
const QUANTILE: f64 = 0.95;

/// How far one answer moves the estimate, as a part of it.
const STEP_SHARE: f64 = 0.02;

/// The estimate before the first answer.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Estimates the latency below which 95 % of a service's answers come.
///
/// The estimate moves up by a fixed part of itself with each slower answer and
/// down by a smaller one with each faster answer, so that it rests where 95 %
/// are faster; it keeps no samples. Source: Ma, Muthukrishnan and Sandler,
/// "Frugal Streaming for Estimating Quantiles", 2013.
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
    /// Notes the latency of an answer.
    pub fn record(&mut self, latency: Duration) {
        let slower = latency.as_micros() as f64 > self.estimate_us;
        let part = if slower { QUANTILE } else { QUANTILE - 1.0 };
        self.estimate_us = (self.estimate_us * (1.0 + STEP_SHARE * part)).max(1.0);
    }

    /// Returns how long the first attempt is given before the hedge.
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.estimate_us as u64)
    }
}
