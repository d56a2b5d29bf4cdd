//! When an instance asks the store itself while others can tell what it says.

use crate::time::MonotonicTime;
use std::time::Duration;

/// How often an instance that follows others asks a store that has failed it. The
/// watchers ask it all the while; that 600 instances did so would be 1,500 calls a
/// second on a store that has just returned.
const FOLLOWER_PERIOD: Duration = Duration::from_millis(2_000);

/// Remembers when the store has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreAsking {
    due_at: Option<MonotonicTime>,
}

impl StoreAsking {
    /// Notes that the store did not answer; `draw` is from 0 to 1 and spreads the
    /// instances over time.
    pub fn failed(&mut self, now: MonotonicTime, draw: f64) {
        self.due_at = Some(now + FOLLOWER_PERIOD.mul_f64(0.5 + draw.clamp(0.0, 1.0)));
    }

    /// Notes that it answered.
    pub fn answered(&mut self) {
        self.due_at = None;
    }

    /// Tells whether an instance that follows others may ask the store itself.
    pub fn is_due(&self, now: MonotonicTime) -> bool {
        self.due_at.is_none_or(|due_at| now >= due_at)
    }
}
