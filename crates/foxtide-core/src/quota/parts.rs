//! What of a quota's bound each mechanism may use.

use crate::routing::Quota;
use std::time::Duration;

/// The part of a quota's burst that buckets hold. The rest covers that tokens lie unused
/// for [`super::TOKEN_TIME`] and that a part has two coordinators for a moment.
const BURST_SHARE: f64 = 0.6;

/// The part of the bound's slack that buckets hold on top, so that organisations with a
/// request a second or less find a token.
const SLACK_SHARE: f64 = 0.3;

/// The part of the slack, with what the overshoot adds, that instances may use whose
/// coordinators are silent.
const FALLBACK_SHARE: f64 = 0.25;

/// The platform's bound on the requests of an organisation in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window in which requests are counted.
    pub window: Duration,
    /// By how much a quota may be exceeded, as a factor.
    pub overshoot: f64,
    /// The requests in a window that are allowed on top of that.
    pub slack: f64,
}

impl Default for QuotaBounds {
    /// The bounds of today's deployments.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        }
    }
}

impl QuotaBounds {
    /// Returns the most requests that may run in a window.
    pub fn requests_max(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * (1.0 + self.overshoot) + self.slack
    }

    /// Returns the requests of a window that a quota allows.
    fn allowed(&self, quota: &Quota) -> f64 {
        quota.rate.get() * self.window.as_secs_f64() + quota.burst
    }
}

/// A quota, cut into equal parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParts {
    quota: Quota,
    bounds: QuotaBounds,
    count: usize,
}

impl QuotaParts {
    /// Returns the parts of a quota for `count` regions.
    pub fn new(quota: Quota, bounds: QuotaBounds, count: usize) -> Self {
        Self {
            quota,
            bounds,
            count: count.max(1),
        }
    }

    /// Returns the tokens a second of one part.
    pub(super) fn rate_rps(&self) -> f64 {
        self.quota.rate.get() / self.count as f64
    }

    /// Returns the most tokens that the bucket of one part holds.
    pub(super) fn capacity(&self) -> f64 {
        let whole = self.quota.burst * BURST_SHARE + self.bounds.slack * SLACK_SHARE;
        (whole / self.count as f64).max(1.0)
    }

    /// Returns the tokens that a bucket begins with when nothing else is known.
    pub(super) fn first_tokens(&self) -> f64 {
        (self.bounds.slack * SLACK_SHARE / self.count as f64).clamp(1.0, self.capacity())
    }

    /// Returns the requests of a window that all instances together may have run without
    /// asking.
    pub(super) fn fallback_requests(&self) -> f64 {
        let allowed = self.bounds.allowed(&self.quota);
        (self.bounds.requests_max(&self.quota) - allowed) * FALLBACK_SHARE
    }

    /// Returns the window in which requests are counted.
    pub(super) fn window(&self) -> Duration {
        self.bounds.window
    }
}
