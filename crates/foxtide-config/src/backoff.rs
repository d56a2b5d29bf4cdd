//! How long to wait after a call to the store failed.

use std::time::Duration;

/// The bounds of the waits after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// The upper bound of the first wait.
    pub initial_max: Duration,
    /// The upper bound of all waits. With the time that a change takes from
    /// a watching instance to all others it stays below the 18 s in which an
    /// accepted change is to be in force.
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

/// The doublings after which every bound has reached its longest.
const DOUBLINGS_MAX: u32 = 16;

/// Waits that double with each failure in a row, each drawn evenly between
/// zero and its bound ("full jitter"), so that a fleet that lost the store at
/// the same moment does not come back at the same moment.
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

    /// Records a failure and returns how long to wait; `jitter` is even in 0..1.
    pub fn record_failure(&mut self, jitter: f64) -> Duration {
        let doublings = self.failures.min(DOUBLINGS_MAX);
        self.failures = self.failures.saturating_add(1);
        let bound = self.options.initial_max.saturating_mul(1 << doublings);
        bound.min(self.options.wait_max).mul_f64(jitter)
    }

    /// Records a success. Tells whether failures came before it.
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
