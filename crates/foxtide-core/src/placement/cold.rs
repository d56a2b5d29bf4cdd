//! Limits the rate of requests to cold upstreams across all instances.

use crate::ids::{
    InstanceId,
    UpstreamId, //
};
use crate::owned_tokens::OwnedTokens;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time for which a used token is unavailable: the platform's window of 1 s and an
/// allowance for varying delays of requests.
const TOKEN_PERIOD: Duration = Duration::from_millis(1_150);

/// Share of the permitted rate that is issued. Instances with different
/// member lists may both own a token, so only half of the rate is safe.
const ISSUED_SHARE: f64 = 0.5;

/// Rate limit of a cold upstream for all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRateLimit {
    /// Rate that the upstream accepts, in requests a second.
    pub rate_rps: f64,
    /// Factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// Additional requests a second.
    pub slack_rps: f64,
}

impl ColdRateLimit {
    /// Returns the number of tokens per period, at least 1.
    fn token_count(&self) -> u64 {
        let bound = self.rate_rps * self.overshoot + self.slack_rps;
        ((bound * ISSUED_SHARE) as u64).max(1)
    }
}

/// Rate limiter of this instance; a token permits one request.
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    tokens: OwnedTokens<UpstreamId>,
}

impl ColdRateLimiter {
    /// Takes a token of `upstream`; returns whether one was available. `instances` are
    /// the live instances, including `own`.
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

    /// Removes tokens that are available again.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.tokens.prune(now);
    }
}
