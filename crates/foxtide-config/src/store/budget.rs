//! How many calls an instance may make, so that the fleet's sum stays under a
//! set rate.
//!
//! docs/design/store-budget.md weighs the ways and gives the measurement.

use super::bucket::TokenBucket;
use foxtide_core::time::MonotonicTime;

/// The least calls that a bucket holds, so that a start-up sequence or a
/// lease's renewal fits however many instances there are.
const CAPACITY_MIN: f64 = 6.0;

/// The seconds of its rate that a bucket holds.
const CAPACITY_S: f64 = 5.0;

/// The tokens that calls which can wait leave to those which cannot.
const URGENT_RESERVE: f64 = 2.0;

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

/// One instance's part of the fleet's rates.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    options: BudgetOptions,
    /// The instances counted on; falls slowly.
    instances: f64,
    counted_at: MonotonicTime,
    reads: TokenBucket,
    writes: TokenBucket,
    failed: bool,
}

impl StoreBudget {
    /// Returns the budget of one of `instances` instances.
    pub fn new(options: BudgetOptions, instances: u32, now: MonotonicTime) -> Self {
        let instances = f64::from(instances.max(1));
        let reads = options.fleet_reads_per_s / instances;
        let writes = options.fleet_writes_per_s / instances;
        Self {
            options,
            instances,
            counted_at: now,
            reads: TokenBucket::new(reads, capacity(reads), now),
            writes: TokenBucket::new(writes, capacity(writes), now),
            failed: false,
        }
    }

    /// Takes in how many instances are live. More count at once, fewer slowly.
    pub fn set_live_instances(&mut self, live: u32, now: MonotonicTime) {
        let elapsed_s = now.since(self.counted_at).as_secs_f64();
        let least = self.instances * 0.5_f64.powf(elapsed_s / COUNT_HALF_LIFE_S);
        self.instances = least.max(f64::from(live.max(1)));
        self.counted_at = now;
        let reads = self.options.fleet_reads_per_s / self.instances;
        let writes = self.options.fleet_writes_per_s / self.instances;
        self.reads.resize(reads, capacity(reads), now);
        self.writes.resize(writes, capacity(writes), now);
    }

    /// Takes the cost of a call. Tells whether the call may be made.
    pub fn take(&mut self, class: CallClass, now: MonotonicTime) -> bool {
        match class {
            CallClass::Read => self.reads.take(0.0, now),
            CallClass::Write => self.writes.take(URGENT_RESERVE, now),
            CallClass::Urgent => self.writes.take(0.0, now),
        }
    }

    /// Records whether a call was answered. The first answer after failures
    /// leaves one call of a burst at once, so that a returning store does not
    /// meet everyone's saved-up calls.
    pub fn answered(&mut self, answered: bool, now: MonotonicTime) {
        if answered && self.failed {
            self.reads.limit(1.0, now);
            self.writes.limit(1.0 + URGENT_RESERVE, now);
        }
        self.failed = !answered;
    }
}

fn capacity(rate_per_s: f64) -> f64 {
    (rate_per_s * CAPACITY_S).max(CAPACITY_MIN)
}
