//! Cache of quota tokens for one organisation.

use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The validity of a token from its request. It is short because cached tokens add to the
/// requests that can run in a window.
pub const TOKEN_TIME: Duration = Duration::from_millis(300);

/// The period of expected requests for which tokens are prefetched; well below
/// [`TOKEN_TIME`], so that few tokens expire unused.
const PREFETCH_TIME: Duration = Duration::from_millis(100);

/// The weight of the newest sample in the exponential moving average.
const NEWEST_WEIGHT: f64 = 0.2;

/// The maximum number of tokens that are prefetched at once.
const WANTED_MAX: f64 = 64.0;

#[derive(Clone, Copy, Debug)]
struct Batch {
    tokens: u32,
    expires_at: MonotonicTime,
}

/// Cached tokens of one organisation's quota, with the mean interval between its requests.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    batches: VecDeque<Batch>,
    last_request_at: Option<MonotonicTime>,
    mean_interval_s: Option<f64>,
}

impl TokenCache {
    /// Records a request and takes a token for it if there is one.
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

    /// Adds tokens that were requested at `requested_at`.
    pub fn put(&mut self, tokens: u32, requested_at: MonotonicTime) {
        if tokens > 0 {
            self.batches.push_back(Batch {
                tokens,
                expires_at: requested_at + TOKEN_TIME,
            });
        }
    }

    /// Returns the number of tokens to request: one for the current request and the rest
    /// for those expected soon.
    pub fn wanted(&self) -> u32 {
        let prefetched = self.mean_interval_s.map_or(0.0, |mean_interval_s| {
            PREFETCH_TIME.as_secs_f64() / mean_interval_s.max(f64::EPSILON)
        });
        1 + prefetched.min(WANTED_MAX) as u32
    }

    /// Returns whether no request has arrived for longer than `time`.
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
