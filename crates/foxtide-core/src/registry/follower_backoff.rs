//! Limits how often followers call the store directly during an outage.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Mean interval at which a follower retries the store after a failed call. The watchers
/// retry more often and report the store's return; this covers a store that rejects all
/// known watchers.
const FOLLOWER_RETRY_INTERVAL: Duration = Duration::from_millis(3_000);

/// Mean delay before a follower calls the store itself while its live watchers get no
/// answer.
const WATCHER_GRACE: Duration = Duration::from_millis(1_000);

/// Decides when a follower may call the store directly. Each follower decides on its
/// own; jitter bounds the sum of their calls during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerBackoff {
    due_at: Option<MonotonicTime>,
    /// Whether the store last answered this instance directly.
    is_served_directly: bool,
}

impl FollowerBackoff {
    /// Records that the store did not answer; `draw`, from 0 to 1, adds jitter.
    pub fn store_failed(&mut self, now: MonotonicTime, draw: f64) {
        self.due_at = Some(now + jittered(FOLLOWER_RETRY_INTERVAL, draw));
        self.is_served_directly = false;
    }

    /// Records that live watchers get no answer from the store; `draw`, from 0 to
    /// 1, adds jitter.
    ///
    /// If the store has just answered this instance directly, only the watchers are cut
    /// off. The instance then keeps calling the store: another delay would let it
    /// alternate between available and unavailable and keep upstreams that have left.
    pub fn watchers_failed(&mut self, now: MonotonicTime, draw: f64) {
        if !self.is_served_directly {
            self.due_at
                .get_or_insert(now + jittered(WATCHER_GRACE, draw));
        }
    }

    /// Records that the store answered this instance itself.
    pub fn store_answered(&mut self) {
        self.due_at = None;
        self.is_served_directly = true;
    }

    /// Records that a watcher answered in place of the store.
    pub fn watcher_answered(&mut self) {
        *self = Self::default();
    }

    /// Returns whether a follower may call the store directly.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at)
    }
}

fn jittered(time: Duration, draw: f64) -> Duration {
    time.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}
