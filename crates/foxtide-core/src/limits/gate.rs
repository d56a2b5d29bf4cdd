//! One instance's part of one limit.

use super::bucket::TokenBucket;
use super::claim::Claim;
use super::split::{Claims, part};
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::time::Duration;

/// What a receiver's refusal leaves of an instance's part.
const REFUSED_FACTOR: f64 = 0.7;

/// The least that refusals leave of it, so that recovery is noticed.
const REFUSED_FLOOR: f64 = 0.05;

/// How fast a part that was cut by refusals grows again, in shares a second.
const REGROWTH_PER_S: f64 = 0.05;

/// Refusals closer together than this count as one.
const REFUSALS_APART: Duration = Duration::from_millis(100);

/// What a gate's part is worked out from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateInput {
    /// What may be sent through the limit by all instances.
    pub(crate) sold: RequestRate,
    /// What is kept back for the floors of all instances.
    pub(crate) floors_share: f64,
    /// The instance's own floor.
    pub(crate) floor: RequestRate,
    /// The claim that the instance may count itself with.
    pub(crate) own: Claim,
    /// What all instances have claimed.
    pub(crate) all: Claims,
    /// Whether the instance still shares in the limit beyond its floor.
    pub(crate) attached: bool,
}

/// An instance's part of a region's or a link's sold rate.
#[derive(Clone, Debug)]
pub(crate) struct Gate {
    bucket: TokenBucket,
    part: RequestRate,
    kept_share: f64,
    refused_at: Option<MonotonicTime>,
}

impl Gate {
    /// Returns a gate that lets nothing through yet.
    pub(crate) fn new(now: MonotonicTime) -> Self {
        Self {
            bucket: TokenBucket::new(RequestRate::ZERO, now),
            part: RequestRate::ZERO,
            kept_share: 1.0,
            refused_at: None,
        }
    }

    /// Works out the part anew, `passed` after the last time.
    pub(crate) fn update(&mut self, input: GateInput, passed: Duration, now: MonotonicTime) {
        let regrown = self.kept_share + passed.as_secs_f64() * REGROWTH_PER_S;
        self.kept_share = regrown.min(1.0);
        let shared = RequestRate::clamped(input.sold.get() * (1.0 - input.floors_share));
        let beyond_floor = if input.attached {
            part(shared, input.own, input.all).get()
        } else {
            0.0
        };
        self.part = RequestRate::clamped(input.floor.get() + beyond_floor);
        self.bucket.set_rate(self.usable(), now);
    }

    /// Cuts the part at once because the receiving side refused a request.
    pub(crate) fn refused(&mut self, now: MonotonicTime) {
        let again = self.refused_at.map(|at| now.since(at));
        if again.is_some_and(|passed| passed < REFUSALS_APART) {
            return;
        }
        self.refused_at = Some(now);
        self.kept_share = (self.kept_share * REFUSED_FACTOR).max(REFUSED_FLOOR);
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the rate that the instance may send at.
    pub(crate) fn usable(&self) -> RequestRate {
        RequestRate::clamped(self.part.get() * self.kept_share)
    }

    /// Returns the bucket that the part is spent from.
    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }
}
