//! Budget of requests that a region without enough upstreams sends to other regions
//! beyond their shares.

use crate::retry::{
    RetryBudget,
    RetryBudgetOptions, //
};
use crate::time::MonotonicTime;
use crate::units::{
    RequestRate,
    Share, //
};

/// Share of its own requests below which a region lacks capacity. Above it the cache misses in
/// other regions would cost more than the overflow saves. What waits or is rejected in a region is
/// all that is left there once no new requests come, the more so the smaller its share: 26 of the
/// last 45 requests of a region that keeps a tenth.
const OWN_SHARE_MIN: f64 = 0.25;

/// Share of an instance's requests that may overflow, which keeps the moved traffic within common
/// contracts. With the 50 requests that an instance has within 2 s, no more than 0.15 of a region's
/// traffic moves at once.
const OVERFLOW_SHARE: f64 = 0.11;
/// Maximum number of unused overflows that accumulate.
const OVERFLOW_SAVED_MAX: f64 = 2.0;

/// Returns whether a region that serves `own_share` of its requests may overflow those
/// for which it has no early slot.
pub fn lacks_capacity(own_share: f64) -> bool {
    own_share < OWN_SHARE_MIN
}

/// Returns an instance's overflow budget, which grows with each request
/// ([`RetryBudget::record_success`]).
pub fn overflow_budget(now: MonotonicTime) -> RetryBudget {
    let options = RetryBudgetOptions {
        success_share: Share::clamped(OVERFLOW_SHARE),
        floor_rps: RequestRate::ZERO,
        burst: OVERFLOW_SAVED_MAX,
    };
    RetryBudget::new(options, now)
}
