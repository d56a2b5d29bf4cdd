//! The tokens of one part of a quota.

use super::parts::QuotaParts;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The part of a bucket that is left to the most urgent requests of the organisation: it
/// matters only when the quota binds, and gives these the first of what is refilled.
const URGENT_RESERVE_SHARE: f64 = 0.1;

/// How long after the last urgent request a part of the bucket is left to such.
const URGENT_RESERVE_TIME: Duration = Duration::from_secs(5);

/// What a bucket keeps of its capacity before more than one token is handed out at a time:
/// tokens that lie unused with one instance are missing to another.
const PREFETCH_RESERVE_SHARE: f64 = 0.5;

/// The part of its rate at which a process refills its buckets that has just started: for a
/// moment another instance is still asked for the same part. It is more than what
/// organisations use of their quota on an ordinary day (five eighths, where quotas are
/// sold at 1.6 times the usual load), so that a start of all instances at once refuses none.
pub(super) const STARTUP_RATE_SHARE: f64 = 0.65;

/// How long that holds: a change of the members is known to all in 2.2 to 3 s.
pub(super) const STARTUP_TIME: Duration = Duration::from_secs(3);

/// The longest time after which a caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// A token bucket whose refusals promise its tokens in the order of the questions.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: MonotonicTime,
    /// When the token comes that was promised last.
    last_retry_at: MonotonicTime,
    /// The rank of the most urgent requests of late, and when the last of them came.
    most_urgent: (u32, MonotonicTime),
}

impl Bucket {
    /// Returns a bucket that holds `tokens`.
    pub(super) fn new(tokens: f64, priority: u32, now: MonotonicTime) -> Self {
        Self {
            tokens,
            refilled_at: now,
            last_retry_at: now,
            most_urgent: (priority, now),
        }
    }

    /// Takes up to `wanted` tokens for requests of one rank.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there is one, where there is none now.
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
        let passed_s = (now - self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + passed_s * rate_rps).min(capacity);
    }

    /// Returns the tokens that are left to more urgent requests.
    fn reserve(&mut self, priority: u32, capacity: f64, now: MonotonicTime) -> f64 {
        let (most_urgent, seen_at) = self.most_urgent;
        if priority <= most_urgent || now - seen_at > URGENT_RESERVE_TIME {
            self.most_urgent = (priority, now);
            return 0.0;
        }
        capacity * URGENT_RESERVE_SHARE
    }

    /// Returns when there is a token for one more, after all to whom one was promised.
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
