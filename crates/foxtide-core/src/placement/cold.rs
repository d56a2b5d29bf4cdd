//! The rate at which a cold upstream gets requests, shared out over instances.

use crate::ids::{
    InstanceId,
    UpstreamId, //
};
use crate::owned_tokens::OwnedTokens;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The time for which one token's use bars its next use. One second is the
/// window in which the platform counts; the rest covers that requests take
/// unlike times on their way.
const TOKEN_PERIOD: Duration = Duration::from_millis(1_150);

/// The part of the permitted rate that is given out. Two instances that
/// believe in different members for a moment may both hold a token, so that
/// half of the rate is safe whatever they believe.
const ISSUED_SHARE: f64 = 0.5;

/// The bound on requests to one cold upstream from all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// The requests a second that the upstream takes.
    pub rate_rps: f64,
    /// By how much the rate may be exceeded, as a factor.
    pub overshoot: f64,
    /// The requests a second allowed on top of that.
    pub slack_rps: f64,
}

impl ColdRateLimit {
    /// Returns how many tokens of one request a period there are, at least 1.
    fn token_count(&self) -> u64 {
        let bound = self.rate_rps * self.overshoot + self.slack_rps;
        ((bound * ISSUED_SHARE) as u64).max(1)
    }
}

/// What this instance has sent to cold upstreams, in tokens of one request.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    tokens: OwnedTokens<UpstreamId>,
}

impl ColdRateLimiter {
    /// Takes a token of `upstream` for one request; tells whether there was
    /// one. `instances` are those thought alive, `own` among them.
    pub fn try_take(
        &mut self,
        upstream: &UpstreamId,
        limit: &ColdRateLimit,
        own: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        let count = limit.token_count();
        self.tokens
            .try_take(upstream, count, TOKEN_PERIOD, own, instances, now)
    }

    /// Forgets tokens that are free again.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.tokens.prune(now);
    }
}
