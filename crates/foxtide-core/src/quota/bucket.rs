//! The token bucket of one region's part of a quota.

use super::parts::QuotaParts;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The share of a bucket's capacity that is reserved for the organisation's
/// highest-priority requests.
const PRIORITY_RESERVE_SHARE: f64 = 0.1;

/// The time after the last highest-priority request for which the reserve is held.
const PRIORITY_RESERVE_TIME: Duration = Duration::from_secs(5);

/// The share of the capacity below which tokens are handed out one at a time, since tokens
/// cached at one instance are missing at the others.
const PREFETCH_RESERVE_SHARE: f64 = 0.5;

/// The share of its refill rate that a newly started process uses, since another instance may
/// briefly hand out the same part. It exceeds the five eighths that organisations use of a quota
/// sold at 1.6 times their usual load, so that a start of all instances rejects none.
pub(super) const STARTUP_RATE_SHARE: f64 = 0.65;

/// The time for which a process refills at the reduced rate, in which a membership change
/// reaches all instances.
pub(super) const STARTUP_TIME: Duration = Duration::from_secs(3);

/// The longest retry delay in a rejection.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// A token bucket that assigns future tokens to rejected requests in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: MonotonicTime,
    /// When the latest assigned token becomes available.
    last_retry_at: MonotonicTime,
    /// The highest recent priority, and when it was last seen.
    highest_priority: (u32, MonotonicTime),
}

impl Bucket {
    /// Returns a bucket that holds `tokens`.
    pub(super) fn new(tokens: f64, priority: u32, now: MonotonicTime) -> Self {
        Self {
            tokens,
            refilled_at: now,
            last_retry_at: now,
            highest_priority: (priority, now),
        }
    }

    /// Takes up to `wanted` tokens for requests of one priority.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available if there is none now.
    pub(super) fn take(
        &mut self,
        wanted: u32,
        priority: u32,
        rate_rps: f64,
        parts: &QuotaParts,
        now: MonotonicTime,
    ) -> Result<u32, Duration> {
        self.refill(rate_rps, parts.capacity(), now);
        let reserve = self.reserve(priority, parts.capacity(), now);
        let available = self.tokens - reserve;
        if available < 1.0 {
            return Err(self.schedule_retry(1.0 - available, rate_rps, now));
        }
        let prefetched = (available - parts.capacity() * PREFETCH_RESERVE_SHARE).max(0.0);
        let granted = 1 + (prefetched as u32).min(wanted.saturating_sub(1));
        self.tokens -= f64::from(granted);
        Ok(granted)
    }

    fn refill(&mut self, rate_rps: f64, capacity: f64, now: MonotonicTime) {
        let elapsed_s = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * rate_rps).min(capacity);
    }

    /// Returns the tokens that are reserved for requests of higher priority.
    fn reserve(&mut self, priority: u32, capacity: f64, now: MonotonicTime) -> f64 {
        let (highest_priority, seen_at) = self.highest_priority;
        if priority <= highest_priority || now - seen_at > PRIORITY_RESERVE_TIME {
            self.highest_priority = (priority, now);
            return 0.0;
        }
        capacity * PRIORITY_RESERVE_SHARE
    }

    /// Assigns the next unassigned token to a rejection and returns the time until it is
    /// available.
    fn schedule_retry(&mut self, missing: f64, rate_rps: f64, now: MonotonicTime) -> Duration {
        if rate_rps <= 0.0 {
            return RETRY_AFTER_MAX;
        }
        let seconds = |tokens: f64| {
            let seconds = tokens / rate_rps;
            Duration::from_secs_f64(seconds.min(RETRY_AFTER_MAX.as_secs_f64()))
        };
        let latest = now + RETRY_AFTER_MAX;
        let last_retry_at = (now + seconds(missing)).max(self.last_retry_at + seconds(1.0));
        self.last_retry_at = last_retry_at.min(latest);
        self.last_retry_at - now
    }
}
