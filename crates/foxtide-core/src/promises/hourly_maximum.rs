//! Sliding maximum over the last hour.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The length of the sliding window.
const RETENTION: Duration = Duration::from_secs(3_600);

/// The time that one bucket covers.
const BUCKET_LENGTH: Duration = Duration::from_secs(60);

/// The largest value of each minute of the last hour.
#[derive(Clone, Debug, Default)]
pub(super) struct HourlyMaximum {
    buckets: VecDeque<(MonotonicTime, f64)>,
}

impl HourlyMaximum {
    pub(super) fn add(&mut self, value: f64, now: MonotonicTime) {
        match self.buckets.back_mut() {
            Some((start, maximum)) if now.since(*start) < BUCKET_LENGTH => {
                *maximum = maximum.max(value)
            }
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

    /// Returns the largest value, or zero if there is none.
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
    fn verify_maximum_expires_after_an_hour() {
        let mut maximum = HourlyMaximum::default();
        maximum.add(5.0, MonotonicTime::from_ms(1_000));
        maximum.add(2.0, MonotonicTime::from_ms(120_000));
        assert_eq!(maximum.get(), 5.0);
        maximum.add(1.0, MonotonicTime::from_ms(3_700_000));
        assert_eq!(maximum.get(), 2.0);
    }
}
