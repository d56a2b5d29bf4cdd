//! Counts the store's calls and their peak rate, by kind.

use std::time::{
    Duration,
    Instant, //
};

/// The kind of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read that returns immediately.
    Read,
    /// A write or a deletion, including one whose condition fails.
    Write,
    /// A blocking read.
    Watch,
    /// A session that is created, renewed or destroyed.
    Session,
}

const KINDS: usize = 4;

/// The call counts, by kind.
#[derive(Clone, Debug)]
pub struct CallStats {
    kinds: [KindStats; KINDS],
}

#[derive(Clone, Copy, Debug, Default)]
struct KindStats {
    total: u64,
    /// The second since the start that `in_second` covers.
    second: u64,
    in_second: u64,
    peak_in_second: u64,
}

impl CallStats {
    /// Returns the number of calls of a kind.
    pub fn total(&self, kind: CallKind) -> u64 {
        self.kinds[kind as usize].total
    }

    /// Returns the highest number of calls of a kind in one second.
    pub fn peak_rate_rps(&self, kind: CallKind) -> u64 {
        self.kinds[kind as usize].peak_in_second
    }
}

#[derive(Debug)]
pub(super) struct CallCounter {
    started_at: Instant,
    stats: CallStats,
}

impl CallCounter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            stats: CallStats {
                kinds: [KindStats::default(); KINDS],
            },
        }
    }

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

    pub(super) fn stats(&self) -> CallStats {
        self.stats.clone()
    }
}
