//! One instance's part of one limit.

use super::bucket::TokenBucket;
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

    /// Sets the part, `passed` after the last time.
    pub(crate) fn update(&mut self, part: RequestRate, passed: Duration, now: MonotonicTime) {
        let regrown = self.kept_share + passed.as_secs_f64() * REGROWTH_PER_S;
        self.kept_share = regrown.min(1.0);
        self.part = part;
        self.bucket.set_rate(self.usable(), now);
    }

    /// Returns the part as it was set.
    pub(crate) fn part(&self) -> RequestRate {
        self.part
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
