//! Paces the calls for changes of an instance that follows the store.

use std::time::Duration;

/// Smallest number of changes in an answer that may have been cut short; more than usually arrive
/// during a call.
const BACKLOG_MIN: usize = 48;

/// Share of the largest answer so far from which an answer may have been cut short.
const FULL_ANSWER_SHARE: f64 = 0.9;

/// Decides how long to wait between two calls for changes.
///
/// The store limits how many changes it returns at once and does not tell whether there are
/// more. An instance that takes one answer a period falls further and further behind when
/// changes come faster than that, and a new configuration waits behind all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowPace {
    largest: usize,
}

impl FollowPace {
    /// Returns the pause after an answer with a number of changes to a call that began
    /// `elapsed` ago; calls are a `period` apart unless more changes may be waiting.
    pub fn pause(&mut self, changes: usize, elapsed: Duration, period: Duration) -> Duration {
        self.largest = self.largest.max(changes);
        let is_full = changes as f64 >= self.largest as f64 * FULL_ANSWER_SHARE;
        if changes >= BACKLOG_MIN && is_full {
            return Duration::ZERO;
        }
        period.saturating_sub(elapsed)
    }
}
