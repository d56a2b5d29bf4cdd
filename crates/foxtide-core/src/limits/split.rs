//! Divides a sold rate among the instances that send there.
//!
//! Every instance computes its own allocation from its own view. The sum stays
//! within the sold rate `S` for any mixture of views:
//!
//! - Instance `i` counts itself with `n_i` (planned) and `s_i` (spilled), the
//!   minimum it has published within the growth window. Every peer knows at
//!   least that, so its sums satisfy `P >= N = sum n_i` and `Q >= M = sum s_i`.
//! - An allocation is `S * (n_i + k * s_i) / (P + k * Q)`, `k * Q = min(Q, S - P)`
//!   (at least 0): spilled requests use only what planned ones leave.
//! - The planned allocations sum to at most `S * N / (P + kQ)` and the spilled
//!   ones to at most `S * x / (P' + x)`, `x = min(M, S - P')`, each for the worst
//!   view. If `Q` bounds the first, then `P + Q >= N + M` and the sum is at
//!   most `S * (N + M) / (N + M)`. If `S - P` bounds it (or `P > S`), it is
//!   at most `N`, and the second is at most `S - N`.

use crate::units::RequestRate;

use super::claim::Claim;

/// The sum of all instances' claims on one limit, as one instance knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claims {
    /// The sum of the planned rates.
    pub planned_rps: f64,
    /// The sum of the spilled rates.
    pub spilled_rps: f64,
}

impl Claims {
    /// Adds the claim of an instance or the sum for a region.
    pub fn add(&mut self, claim: Claim) {
        self.planned_rps += claim.planned_rps.get();
        self.spilled_rps += claim.spilled_rps.get();
    }
}

/// Returns an instance's allocation of a sold rate.
///
/// `local` is the lowest claim that a peer may know of the instance; `all` is the
/// sum of the claims that it knows, including its own.
pub fn allocate(sold: RequestRate, local: Claim, all: Claims) -> RequestRate {
    let sold_rps = sold.get();
    // Guards against a view that holds less than the instance's own claim.
    let planned_sum = all.planned_rps.max(local.planned_rps.get());
    let spilled_sum = all.spilled_rps.max(local.spilled_rps.get());
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
    let weight = local.planned_rps.get() + local.spilled_rps.get() * spilled_scale;
    RequestRate::clamped(sold_rps * weight / total)
}
