//! Token bucket that limits the rejections that an instance causes.
//!
//! A request sent without recent knowledge of the upstream may be rejected. Such
//! speculation finds free slots cheaply, but without a limit it would overload
//! the upstreams with rejections. Each rejection costs a token; answers and time refill
//! the bucket. While it is empty, requests go only to upstreams that are
//! expected to have a free slot.

use super::BalancerOptions;
use crate::time::MonotonicTime;
use std::time::Duration;

const TOKENS_MAX: f64 = 10.0;

/// The rejections that an instance may still cause.
#[derive(Clone, Debug)]
pub(crate) struct RejectionBudget {
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl RejectionBudget {
    /// Returns a full bucket.
    pub(crate) const fn new() -> Self {
        Self {
            tokens: TOKENS_MAX,
            refilled_at: MonotonicTime::ZERO,
        }
    }

    /// Returns whether a request may be sent without an expected free slot.
    pub(crate) fn allows_speculation(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns whether rejections have been rare recently.
    pub(crate) fn is_ample(&self) -> bool {
        self.tokens >= TOKENS_MAX / 2.0
    }

    /// Adds the tokens earned since the last call.
    pub(crate) fn refill(
        &mut self,
        options: &BalancerOptions,
        latency: Duration,
        now: MonotonicTime,
    ) {
        let elapsed = now - self.refilled_at;
        self.refilled_at = self.refilled_at.max(now);
        let latencies = elapsed.as_secs_f64() / latency.as_secs_f64().max(1e-6);
        self.add(latencies * options.rejections_per_latency);
    }

    /// Returns the time until speculation is allowed.
    pub(crate) fn next_token_in(&self, options: &BalancerOptions, latency: Duration) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        latency.mul_f64(missing / options.rejections_per_latency.max(0.1))
    }

    pub(crate) fn record_answer(&mut self, options: &BalancerOptions) {
        self.add(options.rejections_per_answer);
    }

    pub(crate) fn record_rejection(&mut self) {
        self.tokens -= 1.0;
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(TOKENS_MAX);
    }
}
