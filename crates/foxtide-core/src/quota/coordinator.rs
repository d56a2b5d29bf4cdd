//! The parts of quotas that one instance hands out.

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

/// How long a bucket is kept that nobody asks for; a new one holds as much by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// What an instance asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The organisation whose request it has.
    pub organisation: OrganisationId,
    /// The rank of the request; 0 is the highest.
    pub priority: u32,
    /// How many tokens it can use before they lapse, one at least.
    pub wanted: u32,
}

/// What a coordinator says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaAnswer {
    /// So many requests may be forwarded, one at least.
    Granted {
        /// The number.
        tokens: u32,
    },
    /// Its part of the quota is used up.
    Refused {
        /// When there is a token, after those that were promised to others.
        retry_after: Duration,
    },
    /// It does not hand out this quota: it knows of another that does, or it cannot tell.
    NotCoordinator,
}

#[derive(Clone, Debug)]
struct BucketEntry {
    bucket: Bucket,
    last_request_at: MonotonicTime,
}

/// Hands out the tokens of the parts of quotas for which this instance speaks.
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

    /// Answers a question. `since` is when the instances of the region last changed: until
    /// then another one may have handed out this part.
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
            Err(retry_after) => QuotaAnswer::Refused { retry_after },
        }
    }

    /// Forgets the parts that nobody has asked for in a while.
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
