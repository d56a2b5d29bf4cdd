//! A token bucket that never exceeds its rate within any one second.

use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// The burst as a share of one second's tokens.
const BURST_SHARE: f64 = 0.05;

/// The minimum burst, in tokens; a smaller bucket never holds a whole token.
const BURST_MIN: f64 = 1.0;

/// The refilled share of rates up to [`BURST_MIN`] per second.
const SLOW_REFILL_SHARE: f64 = 0.5;

/// The upper bound of [`TokenBucket::next_token_in`], in seconds.
const WAIT_MAX_S: f64 = 3_600.0;

/// A token bucket.
///
/// A plain bucket passes its rate plus its burst in one second. This one
/// deducts the burst from the refill, so that burst + refill = rate. Rates up
/// to one request per second pass one request and refill at half the rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    refill_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(rate: RequestRate, now: MonotonicTime) -> Self {
        let mut bucket = Self {
            refill_per_s: 0.0,
            burst: 0.0,
            tokens: 0.0,
            refilled_at: now,
        };
        bucket.set_rate(rate, now);
        bucket
    }

    /// Sets the rate, without adding tokens; those above the new burst are
    /// dropped.
    pub fn set_rate(&mut self, rate: RequestRate, now: MonotonicTime) {
        self.refill(now);
        let rate = rate.get();
        if rate <= 0.0 {
            self.refill_per_s = 0.0;
            self.burst = 0.0;
        } else if rate <= BURST_MIN {
            self.refill_per_s = rate * SLOW_REFILL_SHARE;
            self.burst = BURST_MIN;
        } else {
            self.burst = (rate * BURST_SHARE).max(BURST_MIN);
            self.refill_per_s = (rate - self.burst).max(rate * BURST_SHARE);
        }
        self.tokens = self.tokens.min(self.burst);
    }

    /// Fills the bucket up to its burst.
    pub fn fill(&mut self) {
        self.tokens = self.burst;
    }

    /// Refills the bucket and returns whether it holds a token.
    pub fn has_token(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        self.tokens >= 1.0
    }

    /// Takes a token; call it only after [`Self::has_token`] returned `true`.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until the next token, or `None` if the bucket is never
    /// refilled.
    pub fn next_token_in(&self) -> Option<Duration> {
        if self.refill_per_s <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let wait_s = (missing / self.refill_per_s).min(WAIT_MAX_S);
        Some(Duration::from_secs_f64(wait_s))
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.refill_per_s).min(self.burst);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sent_in_busiest_second(rate: f64) -> usize {
        let mut bucket = TokenBucket::new(RequestRate::clamped(rate), MonotonicTime::ZERO);
        let mut sent_ms = Vec::new();
        for ms in 0..10_000 {
            let now = MonotonicTime::from_ms(ms);
            // A pause in every third second lets the bucket fill up.
            while ms % 3_000 >= 1_000 && bucket.has_token(now) {
                bucket.take();
                sent_ms.push(ms);
            }
        }
        let in_second_from = |start: &u64| {
            let inside = |ms: &&u64| **ms >= *start && **ms < start + 1_000;
            sent_ms.iter().filter(inside).count()
        };
        sent_ms.iter().map(in_second_from).max().unwrap_or(0)
    }

    #[test]
    fn verify_no_second_exceeds_the_rate() {
        for rate in [1.5, 2.0, 7.0, 25.0, 250.0] {
            assert!(sent_in_busiest_second(rate) as f64 <= rate, "{rate}");
        }
        assert!(sent_in_busiest_second(250.0) >= 235);
    }

    #[test]
    fn verify_a_rate_of_zero_passes_nothing() {
        let mut bucket = TokenBucket::new(RequestRate::ZERO, MonotonicTime::ZERO);
        assert!(!bucket.has_token(MonotonicTime::from_ms(60_000)));
        assert_eq!(bucket.next_token_in(), None);
    }
}
