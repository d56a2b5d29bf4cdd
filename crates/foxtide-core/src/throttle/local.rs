//! What one instance knows of upstreams' rate limits.

use super::enforced_rps;
use super::statement::{
    LimitReport,
    LimitStatement,
    StatedLimits, //
};
use crate::ids::{
    InstanceId,
    UpstreamId, //
};
use crate::owned_tokens::OwnedTokens;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// The share of a limit that all instances together may use while they reach no coordinator.
const UNCOORDINATED_SHARE: f64 = 0.1;

/// The time for which a used token is unavailable: the upstreams' window of 4 s and an allowance
/// for varying latencies.
const TOKEN_PERIOD: Duration = Duration::from_millis(4_500);

/// The maximum number of tokens per upstream, which bounds the search for an owned one.
const TOKENS_MAX: f64 = 64.0;

/// The rate limits of upstreams, as an instance knows them.
#[derive(Clone, Debug, Default)]
pub struct LocalThrottle {
    stated: StatedLimits,
    /// Upstreams without a token for this instance, and until when.
    exhausted: HashMap<UpstreamId, MonotonicTime>,
    uncoordinated: OwnedTokens<UpstreamId>,
}

impl LocalThrottle {
    /// Records a statement of an incarnation of an upstream; returns whether the limit has
    /// changed.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        statement: LimitStatement,
    ) -> bool {
        let has_changed = self.stated.record(upstream, born_at, statement);
        if has_changed {
            self.exhausted.remove(upstream);
        }
        has_changed
    }

    /// Returns what this instance has heard of an upstream's limit, for its coordinator.
    pub fn report(
        &self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        now: MonotonicTime,
    ) -> Option<LimitReport> {
        let statement = self.stated.get(upstream, born_at)?;
        Some(LimitReport {
            limit: statement.limit,
            age: now - statement.held_at,
        })
    }

    /// Records that an upstream's rate is exhausted for `time`.
    pub fn set_exhausted(&mut self, upstream: &UpstreamId, time: Duration, now: MonotonicTime) {
        self.exhausted.insert(upstream.clone(), now + time);
    }

    /// Tells whether the rate of any upstream is exhausted.
    pub fn has_exhausted(&self) -> bool {
        !self.exhausted.is_empty()
    }

    /// Returns the time until an upstream may have a token again, if its rate is exhausted.
    pub fn exhausted_for(&self, upstream: &UpstreamId, now: MonotonicTime) -> Option<Duration> {
        let until = self.exhausted.get(upstream)?;
        (now < *until).then(|| *until - now)
    }

    /// Takes a token for a request whose coordinator does not answer; returns whether there
    /// was one, which is always so without a limit. `instances` are the members believed
    /// alive, including `local`.
    pub fn try_take_uncoordinated(
        &mut self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        local: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        let statement = self.stated.get(upstream, born_at);
        let Some(limit) = statement.and_then(|statement| statement.limit) else {
            return true;
        };
        let tokens = enforced_rps(limit) * UNCOORDINATED_SHARE * TOKEN_PERIOD.as_secs_f64();
        let count = tokens.clamp(1.0, TOKENS_MAX) as u64;
        self.uncoordinated
            .try_take(upstream, count, TOKEN_PERIOD, local, instances, now)
    }

    /// Returns the number of upstreams that state a limit.
    pub fn limited_count(&self) -> usize {
        self.stated.limited_count()
    }

    /// Drops what is out of date; limits of upstreams that `is_registered` accepts are kept.
    pub fn prune(&mut self, now: MonotonicTime, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.stated.prune(now, is_registered);
        self.exhausted.retain(|_, until| now < *until);
        self.uncoordinated.prune(now);
    }
}
