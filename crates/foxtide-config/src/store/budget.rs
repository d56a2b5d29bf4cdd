//! Limits an instance's calls to the store to its share of the fleet's rates.

use super::bucket::TokenBucket;
use foxtide_core::time::MonotonicTime;

/// Tokens reserved for urgent calls.
const URGENT_RESERVE_TOKENS: f64 = 2.0;

/// Half-life of the assumed number of instances: behind a network partition an instance sees few
/// others, which still make calls. Regions may lose each other for an hour, after which the sum of
/// their calls has at most doubled.
const COUNT_HALF_LIFE_S: f64 = 3_600.0;

/// Rate limits of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Maximum rate of reads, including watches, in calls a second.
    pub fleet_reads_per_s: f64,
    /// Maximum rate of writes and session renewals, in calls a second.
    pub fleet_writes_per_s: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            fleet_reads_per_s: 400.0,
            fleet_writes_per_s: 60.0,
        }
    }
}

/// The instances that share the fleet's rates, as seen by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Number of live instances.
    pub live_instances: u32,
    /// Number of watchers.
    pub watchers: u32,
    /// Whether this instance is a watcher.
    pub is_watcher: bool,
}

impl Default for Fleet {
    /// Returns a fleet of one instance, which is a watcher.
    fn default() -> Self {
        Self {
            live_instances: 1,
            watchers: 1,
            is_watcher: true,
        }
    }
}

/// Class of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// A read or a watch.
    Read,
    /// A write that can be deferred.
    Write,
    /// A write that renews or releases a lease.
    Urgent,
}

/// Share of the reads that is reserved for watchers.
const WATCHERS_READ_SHARE: f64 = 0.5;

/// An instance's share of the fleet's rates.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    options: BudgetOptions,
    /// Assumed numbers of instances and watchers, which decrease slowly.
    instances: f64,
    watchers: f64,
    counted_at: MonotonicTime,
    reads: TokenBucket,
    writes: TokenBucket,
    last_call_failed: bool,
}

impl StoreBudget {
    /// Returns the budget of an instance of `fleet`.
    pub fn new(options: BudgetOptions, fleet: Fleet, now: MonotonicTime) -> Self {
        let mut budget = Self {
            options,
            instances: 1.0,
            watchers: 1.0,
            counted_at: now,
            reads: TokenBucket::new(now),
            writes: TokenBucket::new(now),
            last_call_failed: false,
        };
        budget.set_fleet(fleet, now);
        budget
    }

    /// Updates the fleet: increases apply at once, decreases slowly.
    pub fn set_fleet(&mut self, fleet: Fleet, now: MonotonicTime) {
        let elapsed_s = now.since(self.counted_at).as_secs_f64();
        let decay = 0.5_f64.powf(elapsed_s / COUNT_HALF_LIFE_S);
        self.counted_at = now;
        self.instances = (self.instances * decay).max(fleet.live_instances.max(1).into());
        self.watchers = (self.watchers * decay).max(fleet.watchers.max(1).into());
        self.reads.resize(self.reads_per_s(fleet.is_watcher), now);
        let writes_per_s = self.options.fleet_writes_per_s / self.instances;
        self.writes.resize(writes_per_s, now);
    }

    fn reads_per_s(&self, is_watcher: bool) -> f64 {
        let for_watchers = self.options.fleet_reads_per_s * WATCHERS_READ_SHARE;
        let for_all = self.options.fleet_reads_per_s - for_watchers;
        let own = for_all / self.instances;
        if is_watcher {
            own + for_watchers / self.watchers
        } else {
            own
        }
    }

    /// Takes a token for a call and returns whether the call may be made.
    pub fn take(&mut self, class: CallClass, now: MonotonicTime) -> bool {
        match class {
            CallClass::Read => self.reads.take(0.0, now),
            CallClass::Write => self.writes.take(URGENT_RESERVE_TOKENS, now),
            CallClass::Urgent => self.writes.take(0.0, now),
        }
    }

    /// Records whether a call was answered. The first answer after failures discards the
    /// accumulated tokens, so that the fleet does not overload a recovering store.
    pub fn record_call(&mut self, answered: bool, now: MonotonicTime) {
        if answered && self.last_call_failed {
            self.reads.cap_tokens(1.0, now);
            self.writes.cap_tokens(1.0 + URGENT_RESERVE_TOKENS, now);
        }
        self.last_call_failed = !answered;
    }
}
