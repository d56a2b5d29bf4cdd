//! How many calls an instance may make, so that the fleet's sum stays under a
//! set rate.
//!
//! docs/design/store-budget.md weighs the ways and gives the measurement.

use super::bucket::TokenBucket;
use foxtide_core::time::MonotonicTime;

/// The tokens that calls which can wait leave to those which cannot.
const URGENT_RESERVE_TOKENS: f64 = 2.0;

/// The time in which the number of instances counted on may halve.
///
/// An instance cut off from most others sees few of them live, but those still
/// make calls. Regions may lose each other for an hour, after which the sum
/// has at most doubled.
const COUNT_HALF_LIFE_S: f64 = 3_600.0;

/// The rates that all instances together keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// The most calls that read, waiting watches included, in calls a second.
    pub fleet_reads_per_s: f64,
    /// The most calls that write or keep sessions, in calls a second.
    pub fleet_writes_per_s: f64,
}

impl Default for BudgetOptions {
    /// Returns a fifth of what the store is known to answer.
    fn default() -> Self {
        Self {
            fleet_reads_per_s: 400.0,
            fleet_writes_per_s: 60.0,
        }
    }
}

/// Who shares the fleet's rates, as an instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// The live instances.
    pub live_instances: u32,
    /// The instances that hold watches.
    pub watchers: u32,
    /// Whether this instance is one of them.
    pub is_watcher: bool,
}

impl Default for Fleet {
    /// Returns a fleet of one instance, which watches.
    fn default() -> Self {
        Self {
            live_instances: 1,
            watchers: 1,
            is_watcher: true,
        }
    }
}

/// What a call asks of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// A read or a watch.
    Read,
    /// A write that can be made later.
    Write,
    /// A write that keeps or gives back a lease.
    Urgent,
}

/// The part of the reads that is kept for the instances that hold watches.
const WATCHERS_READ_SHARE: f64 = 0.5;

/// One instance's part of the fleet's rates.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    options: BudgetOptions,
    /// The instances and watchers counted on; both fall slowly.
    instances: f64,
    watchers: f64,
    counted_at: MonotonicTime,
    reads: TokenBucket,
    writes: TokenBucket,
    last_call_failed: bool,
}

impl StoreBudget {
    /// Returns the budget of one instance of a fleet.
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

    /// Takes in who shares the fleet's rates. More count at once, fewer slowly.
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

    /// Takes the cost of a call. Tells whether the call may be made.
    pub fn take(&mut self, class: CallClass, now: MonotonicTime) -> bool {
        match class {
            CallClass::Read => self.reads.take(0.0, now),
            CallClass::Write => self.writes.take(URGENT_RESERVE_TOKENS, now),
            CallClass::Urgent => self.writes.take(0.0, now),
        }
    }

    /// Records whether a call was answered. The first answer after failures
    /// leaves one call of a burst at once, so that a returning store does not
    /// meet everyone's saved-up calls.
    pub fn record_call(&mut self, answered: bool, now: MonotonicTime) {
        if answered && self.last_call_failed {
            self.reads.cap_tokens(1.0, now);
            self.writes.cap_tokens(1.0 + URGENT_RESERVE_TOKENS, now);
        }
        self.last_call_failed = !answered;
    }
}
