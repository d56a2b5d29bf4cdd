//! A token bucket.

use foxtide_core::time::MonotonicTime;

/// Minimum capacity; fits a start-up sequence or a lease renewal in a fleet of any size.
const CAPACITY_MIN: f64 = 6.0;

/// Capacity in seconds of the refill rate.
const CAPACITY_S: f64 = 5.0;

/// Tokens that refill at a rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    updated: MonotonicTime,
}

impl TokenBucket {
    /// Returns a bucket with one token, so that instances that start at the same time do
    /// not burst together.
    pub(super) fn new(now: MonotonicTime) -> Self {
        Self {
            rate_per_s: 0.0,
            capacity: CAPACITY_MIN,
            tokens: 1.0,
            updated: now,
        }
    }

    /// Sets the rate and the corresponding capacity.
    pub(super) fn resize(&mut self, rate_per_s: f64, now: MonotonicTime) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = (rate_per_s * CAPACITY_S).max(CAPACITY_MIN);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Takes a token if at least `reserve` remain.
    pub(super) fn take(&mut self, reserve: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 + reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Discards tokens above a limit.
    pub(super) fn cap_tokens(&mut self, tokens: f64, now: MonotonicTime) {
        self.refill(now);
        self.tokens = self.tokens.min(tokens);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed_s = now.since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
