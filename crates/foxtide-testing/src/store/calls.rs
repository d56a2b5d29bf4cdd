//! Counts of the store's calls.

use std::time::{
    Duration,
    Instant, //
};

/// What a call costs the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read that is answered at once.
    Read,
    /// A write or a deletion, also one that its condition refuses.
    Write,
    /// A read that waits for a change.
    Watch,
    /// A session that is opened, renewed or ended.
    Session,
}

/// The number of kinds of calls.
const KINDS: usize = 4;

/// The calls so far, by kind.
#[derive(Clone, Debug)]
pub struct CallStats {
    kinds: [KindStats; KINDS],
}

#[derive(Clone, Copy, Debug, Default)]
struct KindStats {
    total: u64,
    /// The second, since the start, that `in_second` counts.
    second: u64,
    in_second: u64,
    peak_in_second: u64,
}

impl CallStats {
    /// Returns the number of calls of a kind.
    pub fn total(&self, kind: CallKind) -> u64 {
        self.kinds[kind as usize].total
    }

    /// Returns the most calls of a kind in one second of the store's clock.
    pub fn peak_rate_rps(&self, kind: CallKind) -> u64 {
        self.kinds[kind as usize].peak_in_second
    }
}

/// Counts calls as they come.
#[derive(Debug)]
pub(super) struct CallCounter {
    started_at: Instant,
    stats: CallStats,
}

impl CallCounter {
    /// Returns a counter without calls.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            stats: CallStats {
                kinds: [KindStats::default(); KINDS],
            },
        }
    }

    /// Counts a call.
    pub(super) fn count(&mut self, kind: CallKind, now: Instant) {
        let elapsed: Duration = now.duration_since(self.started_at);
        let stats = &mut self.stats.kinds[kind as usize];
        if stats.second != elapsed.as_secs() {
            stats.second = elapsed.as_secs();
            stats.in_second = 0;
        }
        stats.total += 1;
        stats.in_second += 1;
        stats.peak_in_second = stats.peak_in_second.max(stats.in_second);
    }

    /// Returns the counts so far.
    pub(super) fn stats(&self) -> CallStats {
        self.stats.clone()
    }
}
