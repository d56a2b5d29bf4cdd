//! What an instance may forward whose coordinators are silent.

use super::parts::QuotaParts;
use crate::ids::{
    InstanceId,
    OrganisationId, //
};
use crate::owned_tokens::OwnedTokens;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The most tokens of one organisation: each is looked for among all instances.
const TOKENS_MAX: f64 = 64.0;

/// By how much longer than the window a used token stays used, as requests take unlike
/// times on their way.
const PERIOD_MARGIN: Duration = Duration::from_millis(500);

/// Tokens that each belong to one living instance, without anybody being asked.
#[derive(Clone, Debug, Default)]
pub struct FallbackTokens {
    tokens: OwnedTokens<OrganisationId>,
}

impl FallbackTokens {
    /// Takes a token for one request; tells whether there was one. `instances` are those
    /// thought alive, `own` among them.
    pub fn try_take(
        &mut self,
        organisation: &OrganisationId,
        parts: &QuotaParts,
        own: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        let count = parts.fallback_requests().min(TOKENS_MAX) as u64;
        let period = parts.window() + PERIOD_MARGIN;
        self.tokens
            .try_take(organisation, count, period, own, instances, now)
    }

    /// Forgets tokens that are free again.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.tokens.prune(now);
    }
}
