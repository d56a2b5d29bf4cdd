//! What a region that is short of upstreams sends to the others beyond their shares.

use crate::retry::{
    RetryBudget,
    RetryBudgetOptions, //
};
use crate::time::MonotonicTime;
use crate::units::{
    RequestRate,
    Share, //
};

/// The share of its requests below which a region sends elsewhere what it would serve late or
/// has no slot for.
///
/// What waits at home or is refused there is all that is left once no new requests come, the
/// more so the fewer are served at home: of a region that keeps a tenth, 26 of the last 45
/// requests. Where a region keeps a third or a half, sending late ones elsewhere costs up to
/// 0.009 of the worth of busy days, and refused ones 0.011 of a start's: the objects are new
/// there.
const SHORT_BELOW: f64 = 0.25;

/// The part of an instance's requests that may go elsewhere so, and what is saved of that, in
/// requests: with the 50 that an instance has within 2 s no more than 0.15 of a region's
/// traffic moves at once, which is what organisations are usually promised. With a tenth and
/// two saved, up to 25 of a region's requests waited at home once no new ones came, with these
/// up to 10 (model of load, six times twelve plays of a region at its peak; 392 to 478 where
/// none goes elsewhere).
const OVERFLOW_SHARE: f64 = 0.11;
const OVERFLOW_SAVED_MAX: f64 = 2.0;

/// Tells whether a region that serves `own_share` of its requests itself is so short of
/// upstreams that it sends elsewhere what it has no early slot for.
pub fn is_short(own_share: f64) -> bool {
    own_share < SHORT_BELOW
}

/// Returns the budget of an instance for that; it grows with each request
/// ([`RetryBudget::record_success`]).
pub fn overflow_budget(now: MonotonicTime) -> RetryBudget {
    let options = RetryBudgetOptions {
        success_share: Share::clamped(OVERFLOW_SHARE),
        floor_rps: RequestRate::ZERO,
        burst: OVERFLOW_SAVED_MAX,
    };
    RetryBudget::new(options, now)
}
