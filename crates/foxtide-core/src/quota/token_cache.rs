//! The tokens that an instance holds of one organisation's quota.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a token may be used after it was handed out. It adds as much of the rate to
/// what can run in a window, so that it is short; it is what the quota's bound leaves
/// besides bursts and starts.
pub const TOKEN_TIME: Duration = Duration::from_millis(300);

/// For how long tokens are asked for ahead of need, where requests come often: a third of
/// [`TOKEN_TIME`], so that few lapse.
const PREFETCH_TIME: Duration = Duration::from_millis(100);

/// How far the measured gap between requests moves towards the newest.
const NEWEST_WEIGHT: f64 = 0.2;

/// The most tokens of one question: more than an instance forwards in [`PREFETCH_TIME`].
const WANTED_MAX: f64 = 64.0;

#[derive(Clone, Copy, Debug)]
struct Batch {
    tokens: u32,
    expires_at: MonotonicTime,
}

/// Tokens of one organisation's quota, and how often they are needed.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    batches: VecDeque<Batch>,
    last_request_at: Option<MonotonicTime>,
    mean_interval_s: Option<f64>,
}

impl TokenCache {
    /// Notes that a request needs a token, and takes one where there is one.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.record_request(now);
        self.drop_expired(now);
        let Some(batch) = self.batches.front_mut() else {
            return false;
        };
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.pop_front();
        }
        true
    }

    /// Takes in tokens that were asked for at `asked_at`.
    pub fn put(&mut self, tokens: u32, asked_at: MonotonicTime) {
        if tokens > 0 {
            self.batches.push_back(Batch {
                tokens,
                expires_at: asked_at + TOKEN_TIME,
            });
        }
    }

    /// Returns how many tokens to ask for: for the request at hand and those that will
    /// come soon.
    pub fn wanted(&self) -> u32 {
        let prefetched = self.mean_interval_s.map_or(0.0, |mean_interval_s| {
            PREFETCH_TIME.as_secs_f64() / mean_interval_s.max(f64::EPSILON)
        });
        1 + prefetched.min(WANTED_MAX) as u32
    }

    /// Tells whether no request has needed a token for `time`.
    pub fn is_unused(&self, time: Duration, now: MonotonicTime) -> bool {
        self.last_request_at
            .is_none_or(|last_request_at| now - last_request_at > time)
    }

    fn record_request(&mut self, now: MonotonicTime) {
        let Some(before) = self.last_request_at.replace(now) else {
            return;
        };
        let newest_s = (now - before).as_secs_f64();
        let mean_s = self.mean_interval_s.unwrap_or(newest_s);
        self.mean_interval_s = Some(mean_s + NEWEST_WEIGHT * (newest_s - mean_s));
    }

    fn drop_expired(&mut self, now: MonotonicTime) {
        while self
            .batches
            .front()
            .is_some_and(|batch| batch.expires_at <= now)
        {
            self.batches.pop_front();
        }
    }
}
