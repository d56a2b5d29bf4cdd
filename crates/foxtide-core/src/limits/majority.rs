//! Tracks contact with the majority of a region's instances.

use crate::time::MonotonicTime;
use std::time::Duration;

/// The last contact with more than half of a region's known instances.
///
/// After a partition each side may consider the other failed. Only the majority
/// side keeps sharing the region's limit; the other instances fall back to
/// their floors.
#[derive(Clone, Debug, Default)]
pub(crate) struct MajorityContact {
    last_seen_at: Option<MonotonicTime>,
}

impl MajorityContact {
    /// Records how many of the region's known instances were live at `at`.
    pub(crate) fn observe(&mut self, live: u32, known: u32, at: MonotonicTime) {
        if u64::from(live) * 2 > u64::from(known) {
            self.last_seen_at = self.last_seen_at.max(Some(at));
        }
    }

    /// Returns whether a majority was live within the last `hold`.
    pub(crate) fn is_recent(&self, hold: Duration, now: MonotonicTime) -> bool {
        self.last_seen_at.is_some_and(|at| now.since(at) <= hold)
    }
}
