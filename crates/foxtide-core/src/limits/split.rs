//! Splits a sold rate among the instances that send there.
//!
//! Every instance works out its own part from its own view, and the views
//! differ. The sum still stays under the sold rate `S`, for any mixture of
//! views:
//!
//! - Instance `i` counts itself with `n_i` (planned) and `s_i` (spilled), the
//!   least it has published within the growth window. Whatever a peer knows of
//!   it is at least that. So every peer's sums satisfy `P >= N = sum n_i` and
//!   `Q >= M = sum s_i`.
//! - A part is `S * (n_i + k * s_i) / (P + k * Q)`, `k * Q = min(Q, S - P)`
//!   (at least 0): spilled requests take only what planned ones leave.
//! - The planned parts sum to at most `S * N / (P + kQ)` and the spilled ones
//!   to at most `S * x / (P' + x)`, `x = min(M, S - P')`, each for the worst
//!   view. If the first is bound by `Q`, then `P + Q >= N + M` and the sum is at
//!   most `S * (N + M) / (N + M)`. If it is bound by `S - P` (or `P > S`), it is
//!   at most `N`, and the second is at most `S - N`.

use crate::units::RequestRate;

use super::claim::Claim;

/// What all instances together have claimed of one limit, as one of them
/// knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claims {
    /// The sum of what is planned to go there.
    pub planned_rps: f64,
    /// The sum of what would spill there.
    pub spilled_rps: f64,
}

impl Claims {
    /// Adds an instance's claim, or a region's sum of them.
    pub fn add(&mut self, claim: Claim) {
        self.planned_rps += claim.planned_rps.get();
        self.spilled_rps += claim.spilled_rps.get();
    }
}

/// Returns an instance's part of a sold rate.
///
/// `own` is the least that every peer may know of the instance, `all` what it
/// knows of everyone, itself counted in.
pub fn allocate(sold: RequestRate, own: Claim, all: Claims) -> RequestRate {
    let sold_rps = sold.get();
    // The view counts the instance in; it never counts for less than itself.
    let planned_sum = all.planned_rps.max(own.planned_rps.get());
    let spilled_sum = all.spilled_rps.max(own.spilled_rps.get());
    let spilled_taken = spilled_sum.min((sold_rps - planned_sum).max(0.0));
    let total = planned_sum + spilled_taken;
    if total <= 0.0 {
        return RequestRate::ZERO;
    }
    let spilled_scale = if spilled_sum > 0.0 {
        spilled_taken / spilled_sum
    } else {
        0.0
    };
    let weight = own.planned_rps.get() + own.spilled_rps.get() * spilled_scale;
    RequestRate::clamped(sold_rps * weight / total)
}
