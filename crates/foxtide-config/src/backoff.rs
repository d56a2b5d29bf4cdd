//! Exponential back-off with full jitter.

use std::time::Duration;

/// Bounds of the waits after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// Upper bound of the first wait.
    pub initial_max: Duration,
    /// Upper bound of all waits; shorter than the time within which an accepted change
    /// must be in force.
    pub wait_max: Duration,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            initial_max: Duration::from_millis(500),
            wait_max: Duration::from_secs(15),
        }
    }
}

/// Doublings after which every wait has reached its upper bound.
const DOUBLINGS_MAX: u32 = 16;

/// Waits between zero and a bound that doubles with each consecutive failure.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    options: BackoffOptions,
    failures: u32,
}

impl Backoff {
    /// Returns the state before any failure.
    pub fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            failures: 0,
        }
    }

    /// Records a failure and returns the wait; `jitter` is uniform in 0..1.
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures = self.failures.saturating_add(1);
        let bound = self.options.initial_max.saturating_mul(1 << doublings);
        bound.min(self.options.wait_max).mul_f64(jitter)
    }

    /// Records a success and returns whether the previous call failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_waits_double_up_to_the_longest() {
        let mut backoff = Backoff::new(BackoffOptions::default());
        let waits: Vec<u128> = (0..8)
            .map(|_| backoff.record_failure(1.0).as_millis())
            .collect();
        let expected = [500, 1_000, 2_000, 4_000, 8_000, 15_000, 15_000, 15_000];
        assert_eq!(waits, expected);
        assert!(backoff.record_success());
        assert!(!backoff.record_success());
        assert_eq!(backoff.record_failure(0.5), Duration::from_millis(250));
    }
}
