//! When an instance asks the store itself while others can tell what it says.

use crate::time::MonotonicTime;
use std::time::Duration;

/// How often an instance that follows others asks a store that has failed it. The
/// watchers ask it all the while, and tell of its return within a second; this is for
/// one that the store serves while it turns away all watchers that are known. Of 600
/// instances this is 200 calls a second while the store is away.
const FOLLOWER_RETRY_INTERVAL: Duration = Duration::from_millis(3_000);

/// After how long an instance asks the store itself whose watchers live but are not
/// answered. A watcher learns within half of this whether only its wait was cut.
const WATCHER_GRACE: Duration = Duration::from_millis(1_000);

/// Remembers when the store has failed, and spreads the calls of followers over time:
/// each decides alone, and their sum is bounded for each second of an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerBackoff {
    due_at: Option<MonotonicTime>,
    /// Whether the store's last answer was to this instance itself.
    is_served: bool,
}

impl FollowerBackoff {
    /// Notes that the store did not answer; `draw` is from 0 to 1 and spreads the
    /// instances over time.
    pub fn store_failed(&mut self, now: MonotonicTime, draw: f64) {
        self.due_at = Some(now + jittered(FOLLOWER_RETRY_INTERVAL, draw));
        self.is_served = false;
    }

    /// Notes that watchers live which the store does not answer; `draw` as above.
    ///
    /// Where the store has just answered this instance itself, they are cut off, and it is
    /// asked on: to wait here once more would take the store for away in between, again and
    /// again, and keep upstreams that have left for as long as the watchers' cut lasts (9 s
    /// on a whole day, where 3 are allowed).
    pub fn watchers_failed(&mut self, now: MonotonicTime, draw: f64) {
        if !self.is_served {
            self.due_at
                .get_or_insert(now + jittered(WATCHER_GRACE, draw));
        }
    }

    /// Notes that the store answered this instance itself.
    pub fn store_answered(&mut self) {
        self.due_at = None;
        self.is_served = true;
    }

    /// Notes that a watcher answered in the store's place.
    pub fn watcher_answered(&mut self) {
        *self = Self::default();
    }

    /// Tells whether an instance that follows others may ask the store itself.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at)
    }
}

fn jittered(time: Duration, draw: f64) -> Duration {
    time.mul_f64(0.5 + draw.clamp(0.0, 1.0))
}
