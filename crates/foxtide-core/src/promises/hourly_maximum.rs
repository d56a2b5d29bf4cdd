//! The worst value of the last hour.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// How far back the worst value is looked for.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Values that lie closer together share an entry.
const BUCKET_LENGTH: Duration = Duration::from_secs(60);

/// Keeps the largest value of each minute of the last hour.
#[derive(Clone, Debug, Default)]
pub(super) struct HourlyMaximum {
    buckets: VecDeque<(MonotonicTime, f64)>,
}

impl HourlyMaximum {
    /// Adds a value.
    pub(super) fn add(&mut self, value: f64, now: MonotonicTime) {
        match self.buckets.back_mut() {
            Some((start, worst)) if now.since(*start) < BUCKET_LENGTH => *worst = worst.max(value),
            _ => self.buckets.push_back((now, value)),
        }
        while self
            .buckets
            .front()
            .is_some_and(|(at, _)| now.since(*at) > RETENTION)
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the largest value, zero where there is none.
    pub(super) fn get(&self) -> f64 {
        self.buckets
            .iter()
            .map(|(_, value)| *value)
            .fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_worst_is_forgotten_after_an_hour() {
        let mut worst = HourlyMaximum::default();
        worst.add(5.0, MonotonicTime::from_ms(1_000));
        worst.add(2.0, MonotonicTime::from_ms(120_000));
        assert_eq!(worst.get(), 5.0);
        worst.add(1.0, MonotonicTime::from_ms(3_700_000));
        assert_eq!(worst.get(), 2.0);
    }
}
