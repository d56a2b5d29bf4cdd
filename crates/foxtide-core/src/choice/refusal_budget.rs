//! How many refusals an instance may provoke.
//!
//! A request that is sent to an upstream of which nothing recent is known may
//! be refused. That is cheap and finds free slots, yet instances that only
//! guess would keep the upstreams busy refusing. Refusals are therefore paid
//! from an allowance: a share of the answers and a small number each latency.
//! While it is empty, requests go only where there is reason to expect room.

use super::BalancerOptions;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The most refusals that are saved up.
const TOKENS_MAX: f64 = 10.0;

/// The refusals that an instance may still provoke.
#[derive(Clone, Debug)]
pub(crate) struct RefusalBudget {
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl RefusalBudget {
    /// Returns an allowance with everything saved that may be.
    pub(crate) const fn new() -> Self {
        Self {
            tokens: TOKENS_MAX,
            refilled_at: MonotonicTime::ZERO,
        }
    }

    /// Tells whether a request may be sent on a guess.
    pub(crate) fn allows_speculation(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Tells whether refusals have been rare of late.
    pub(crate) fn is_ample(&self) -> bool {
        self.tokens >= TOKENS_MAX / 2.0
    }

    /// Adds what the time since the last call brought.
    pub(crate) fn refill(
        &mut self,
        options: &BalancerOptions,
        latency: Duration,
        now: MonotonicTime,
    ) {
        let passed = now - self.refilled_at;
        self.refilled_at = self.refilled_at.max(now);
        let latencies = passed.as_secs_f64() / latency.as_secs_f64().max(1e-6);
        self.add(latencies * options.refusals_per_latency);
    }

    /// Returns how long it takes until a guess is allowed.
    pub(crate) fn next_token_in(&self, options: &BalancerOptions, latency: Duration) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        latency.mul_f64(missing / options.refusals_per_latency.max(0.1))
    }

    /// Notes an answer.
    pub(crate) fn answered(&mut self, options: &BalancerOptions) {
        self.add(options.refusals_per_answer);
    }

    /// Notes a refusal.
    pub(crate) fn refused(&mut self) {
        self.tokens -= 1.0;
    }

    fn add(&mut self, refusals: f64) {
        self.tokens = (self.tokens + refusals).min(TOKENS_MAX);
    }
}
