//! The parts of quotas that one instance hands out.

use super::bucket::{
    Bucket,
    YOUNG_SHARE,
    YOUNG_TIME, //
};
use super::parts::QuotaParts;
use crate::ids::OrganisationId;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// How long a bucket is kept that nobody asks for; a new one holds as much by then.
const UNUSED_TIME: Duration = Duration::from_secs(120);

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
struct Part {
    bucket: Bucket,
    asked_at: MonotonicTime,
}

/// Hands out the tokens of the parts of quotas for which this instance speaks.
#[derive(Clone, Debug, Default)]
pub struct QuotaCoordinator {
    started_at: MonotonicTime,
    parts: HashMap<OrganisationId, Part>,
}

impl QuotaCoordinator {
    /// Returns the coordinator of a process that starts now.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            started_at: now,
            parts: HashMap::new(),
        }
    }

    /// Answers a question. `since` is when the instances of the region last changed: until
    /// then another one may have handed out this part.
    pub fn ask(
        &mut self,
        request: &QuotaRequest,
        parts: &QuotaParts,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> QuotaAnswer {
        let rate_rps = self.rate_rps(parts, now);
        let priority = request.priority;
        let started_at = self.started_at;
        let part = self
            .parts
            .entry(request.organisation.clone())
            .or_insert_with(|| {
                let gained = (now - since.max(started_at)).as_secs_f64() * rate_rps;
                let tokens = gained.clamp(parts.first_tokens(), parts.capacity());
                Part {
                    bucket: Bucket::new(tokens, priority, now),
                    asked_at: now,
                }
            });
        part.asked_at = now;
        let wanted = request.wanted;
        match part.bucket.take(wanted, priority, rate_rps, parts, now) {
            Ok(tokens) => QuotaAnswer::Granted { tokens },
            Err(retry_after) => QuotaAnswer::Refused { retry_after },
        }
    }

    /// Forgets the parts that nobody has asked for in a while.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.parts
            .retain(|_, part| now - part.asked_at < UNUSED_TIME);
    }

    fn rate_rps(&self, parts: &QuotaParts, now: MonotonicTime) -> f64 {
        let is_young = now - self.started_at < YOUNG_TIME;
        let share = if is_young { YOUNG_SHARE } else { 1.0 };
        parts.rate_rps() * share
    }
}
