//! Divides the bound of a quota between buckets and fallback tokens.

use crate::routing::Quota;
use std::time::Duration;

/// The share of a quota's burst that buckets hold. The rest covers tokens that are cached
/// for [`super::TOKEN_TIME`] and short periods with two coordinators.
const BURST_SHARE: f64 = 0.6;

/// The share of the bound's slack that buckets hold in addition, so that organisations with
/// a low request rate find a token.
const SLACK_SHARE: f64 = 0.3;

/// The share of slack and overshoot that instances may use while their coordinators do not
/// answer.
const FALLBACK_SHARE: f64 = 0.25;

/// The platform's bound on an organisation's requests in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window in which requests are counted.
    pub window: Duration,
    /// The share of the allowed requests by which a window may exceed them.
    pub overshoot: f64,
    /// The number of requests allowed in addition.
    pub slack: f64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaBounds {
    /// Returns the maximum number of requests in a window.
    pub fn requests_max(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the number of requests in a window that the quota itself allows.
    fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate.get() * self.window.as_secs_f64() + quota.burst
    }
}

/// A quota that is split into equal parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParts {
    quota: Quota,
    bounds: QuotaBounds,
    count: usize,
}

impl QuotaParts {
    /// Splits a quota into `count` parts, one for each region.
    pub fn new(quota: Quota, bounds: QuotaBounds, count: usize) -> Self {
        Self {
            quota,
            bounds,
            count: count.max(1),
        }
    }

    /// Returns the refill rate of one part, in tokens per second.
    pub(super) fn rate_rps(&self) -> f64 {
        self.quota.rate.get() / self.count as f64
    }

    /// Returns the capacity of one part's bucket.
    pub(super) fn capacity(&self) -> f64 {
        let whole = self.quota.burst * BURST_SHARE + self.bounds.slack * SLACK_SHARE;
        (whole / self.count as f64).max(1.0)
    }

    /// Returns the minimum number of tokens in a new bucket.
    pub(super) fn first_tokens(&self) -> f64 {
        (self.bounds.slack * SLACK_SHARE / self.count as f64).clamp(1.0, self.capacity())
    }

    /// Returns the number of requests in a window that all instances together may forward
    /// without coordinators.
    pub(super) fn fallback_requests(&self) -> f64 {
        let allowed = self.bounds.allowed(&self.quota);
        (self.bounds.requests_max(&self.quota) - allowed) * FALLBACK_SHARE
    }

    pub(super) fn window(&self) -> Duration {
        self.bounds.window
    }
}
