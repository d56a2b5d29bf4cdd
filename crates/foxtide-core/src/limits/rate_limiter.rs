//! Limits one instance's rate to its allocation, reduced after rejections.

use super::bucket::TokenBucket;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// The factor by which a rejection reduces the usable share.
const REJECTION_FACTOR: f64 = 0.7;

/// The minimum usable share; some requests must pass to detect recovery.
const USABLE_SHARE_MIN: f64 = 0.05;

/// The recovery of the usable share after rejections, per second.
const RECOVERY_SHARE_PER_S: f64 = 0.05;

/// The minimum time between rejections that count separately.
const REJECTION_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// An instance's allocation of a region's or a link's sold rate.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    bucket: TokenBucket,
    allocation: RequestRate,
    usable_share: f64,
    rejected_at: Option<MonotonicTime>,
}

impl RateLimiter {
    /// Creates a limiter with an allocation of zero.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            bucket: TokenBucket::new(RequestRate::ZERO, now),
            allocation: RequestRate::ZERO,
            usable_share: 1.0,
            rejected_at: None,
        }
    }

    /// Sets the allocation, `elapsed` after the last update.
    pub(crate) fn update(
        &mut self,
        allocation: RequestRate,
        elapsed: Duration,
        now: MonotonicTime,
    ) {
        let recovered = self.usable_share + elapsed.as_secs_f64() * RECOVERY_SHARE_PER_S;
        self.usable_share = recovered.min(1.0);
        self.allocation = allocation;
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the allocation before reductions for rejections.
    pub(crate) fn allocation(&self) -> RequestRate {
        self.allocation
    }

    /// Reduces the usable rate because the receiver rejected a request.
    pub(crate) fn record_rejection(&mut self, now: MonotonicTime) {
        let since_last = self.rejected_at.map(|at| now.since(at));
        if since_last.is_some_and(|elapsed| elapsed < REJECTION_INTERVAL_MIN) {
            return;
        }
        self.rejected_at = Some(now);
        self.usable_share = (self.usable_share * REJECTION_FACTOR).max(USABLE_SHARE_MIN);
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the rate at which the instance may send.
    pub(crate) fn usable(&self) -> RequestRate {
        RequestRate::clamped(self.allocation.get() * self.usable_share)
    }

    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }
}
