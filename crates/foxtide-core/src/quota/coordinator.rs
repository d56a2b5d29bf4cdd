//! Hands out the parts of quotas that this instance coordinates.

use super::bucket::{
    Bucket,
    STARTUP_RATE_SHARE,
    STARTUP_TIME, //
};
use super::parts::QuotaParts;
use crate::ids::OrganisationId;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The time after which an unused bucket is dropped; a new one holds as many tokens by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// A request for tokens of a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The organisation that the tokens are for.
    pub organisation: OrganisationId,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// The number of tokens that can be used before they expire; at least one.
    pub wanted: u32,
}

/// A coordinator's answer to a quota request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaAnswer {
    /// The requests may be forwarded.
    Granted {
        /// The number of tokens; at least one.
        tokens: u32,
    },
    /// This part of the quota is used up.
    Rejected {
        /// The time until a token is available that is not assigned to an earlier rejection.
        retry_after: Duration,
    },
    /// The instance does not coordinate this quota or cannot tell whether it does.
    NotCoordinator,
}

#[derive(Clone, Debug)]
struct BucketEntry {
    bucket: Bucket,
    last_request_at: MonotonicTime,
}

/// Hands out the tokens of the quota parts that this instance coordinates.
#[derive(Clone, Debug, Default)]
pub struct QuotaCoordinator {
    started_at: MonotonicTime,
    buckets: HashMap<OrganisationId, BucketEntry>,
}

impl QuotaCoordinator {
    /// Returns the coordinator of a process that starts now.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            buckets: HashMap::new(),
        }
    }

    /// Answers a request. `members_changed_at` is when the instances of the region last
    /// changed; until then another instance may have handed out this part.
    pub fn ask(
        &mut self,
        request: &QuotaRequest,
        parts: &QuotaParts,
        members_changed_at: MonotonicTime,
        now: MonotonicTime,
    ) -> QuotaAnswer {
        let rate_rps = self.rate_rps(parts, now);
        let priority = request.priority;
        let started_at = self.started_at;
        let entry = self
            .buckets
            .entry(request.organisation.clone())
            .or_insert_with(|| {
                let accrued = (now - members_changed_at.max(started_at)).as_secs_f64() * rate_rps;
                let tokens = accrued.clamp(parts.first_tokens(), parts.capacity());
                BucketEntry {
                    bucket: Bucket::new(tokens, priority, now),
                    last_request_at: now,
                }
            });
        entry.last_request_at = now;
        let wanted = request.wanted;
        match entry.bucket.take(wanted, priority, rate_rps, parts, now) {
            Ok(tokens) => QuotaAnswer::Granted { tokens },
            Err(retry_after) => QuotaAnswer::Rejected { retry_after },
        }
    }

    /// Drops the buckets that were not used recently.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.buckets
            .retain(|_, entry| now - entry.last_request_at < IDLE_TIMEOUT);
    }

    fn rate_rps(&self, parts: &QuotaParts, now: MonotonicTime) -> f64 {
        let is_starting = now - self.started_at < STARTUP_TIME;
        let share = if is_starting { STARTUP_RATE_SHARE } else { 1.0 };
        parts.rate_rps() * share
    }
}
