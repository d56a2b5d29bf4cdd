//! Tokens that an instance may use while its quota coordinators do not answer.

use super::parts::QuotaParts;
use crate::ids::{
    InstanceId,
    OrganisationId, //
};
use crate::owned_tokens::OwnedTokens;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The maximum number of tokens per organisation, which bounds the search for an owned one.
const TOKENS_MAX: f64 = 64.0;

/// The time beyond the window for which a used token is unavailable, since latencies vary.
const PERIOD_MARGIN: Duration = Duration::from_millis(500);

/// Tokens that are each owned by one live instance and need no coordination.
#[derive(Clone, Debug, Default)]
pub struct FallbackTokens {
    tokens: OwnedTokens<OrganisationId>,
}

impl FallbackTokens {
    /// Takes a token for one request and returns whether there was one. `instances` are those
    /// considered alive, including `local`.
    pub fn try_take(
        &mut self,
        organisation: &OrganisationId,
        parts: &QuotaParts,
        local: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        let count = parts.fallback_requests().min(TOKENS_MAX) as u64;
        let period = parts.window() + PERIOD_MARGIN;
        self.tokens
            .try_take(organisation, count, period, local, instances, now)
    }

    /// Drops the records of tokens that are available again.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.tokens.prune(now);
    }
}
