//! One instance's part of one limit.

use super::bucket::TokenBucket;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// What a receiver's refusal leaves of an instance's part.
const REFUSAL_FACTOR: f64 = 0.7;

/// The least that refusals leave of it, so that recovery is noticed.
const USABLE_SHARE_MIN: f64 = 0.05;

/// How fast a part that was cut by refusals grows again, in shares a second.
const RECOVERY_SHARE_PER_S: f64 = 0.05;

/// Refusals closer together than this count as one.
const REFUSAL_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// An instance's part of a region's or a link's sold rate.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    bucket: TokenBucket,
    allocation: RequestRate,
    usable_share: f64,
    refused_at: Option<MonotonicTime>,
}

impl RateLimiter {
    /// Returns a limiter that lets nothing through yet.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            bucket: TokenBucket::new(RequestRate::ZERO, now),
            allocation: RequestRate::ZERO,
            usable_share: 1.0,
            refused_at: None,
        }
    }

    /// Sets the part, `passed` after the last time.
    pub(crate) fn update(&mut self, allocation: RequestRate, passed: Duration, now: MonotonicTime) {
        let recovered = self.usable_share + passed.as_secs_f64() * RECOVERY_SHARE_PER_S;
        self.usable_share = recovered.min(1.0);
        self.allocation = allocation;
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the part as it was set.
    pub(crate) fn allocation(&self) -> RequestRate {
        self.allocation
    }

    /// Cuts the part at once because the receiving side refused a request.
    pub(crate) fn refused(&mut self, now: MonotonicTime) {
        let again = self.refused_at.map(|at| now.since(at));
        if again.is_some_and(|passed| passed < REFUSAL_INTERVAL_MIN) {
            return;
        }
        self.refused_at = Some(now);
        self.usable_share = (self.usable_share * REFUSAL_FACTOR).max(USABLE_SHARE_MIN);
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the rate that the instance may send at.
    pub(crate) fn usable(&self) -> RequestRate {
        RequestRate::clamped(self.allocation.get() * self.usable_share)
    }

    /// Returns the bucket that the part is spent from.
    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }
}
