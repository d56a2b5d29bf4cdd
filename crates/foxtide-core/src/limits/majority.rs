//! Whether an instance may still count on its part of a region's limit.

use crate::time::MonotonicTime;
use std::time::Duration;

/// When an instance last heard the most of a region's instances.
///
/// After a partition both sides may take the other for dead. Of a region's
/// limit only the side with more than half of the region's known instances
/// goes on sharing; all others fall back to their floor.
#[derive(Clone, Debug, Default)]
pub(crate) struct MajorityContact {
    last_seen_at: Option<MonotonicTime>,
}

impl MajorityContact {
    /// Notes how many of the region's known instances were heard at `at`.
    pub(crate) fn observe(&mut self, live: u32, known: u32, at: MonotonicTime) {
        if u64::from(live) * 2 > u64::from(known) {
            self.last_seen_at = self.last_seen_at.max(Some(at));
        }
    }

    /// Tells whether the region's majority was heard within `hold`.
    pub(crate) fn is_recent(&self, hold: Duration, now: MonotonicTime) -> bool {
        self.last_seen_at.is_some_and(|at| now.since(at) <= hold)
    }
}
