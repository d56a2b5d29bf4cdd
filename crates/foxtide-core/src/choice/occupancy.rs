//! How many of an upstream's slots the other instances are using, estimated.
//!
//! A report tells the slots in use at one moment. What it tells of the other
//! instances' requests fades within about one latency, after which the
//! estimate is the mean over all upstreams again. A refusal says that every
//! slot was in use, whatever was reported; reports that refusals contradict
//! lose their weight.

use crate::time::MonotonicTime;

/// The age, in lives, from which a sight is worth nothing.
const LIFETIMES_MAX: f64 = 8.0;

/// How much of the trust in reports a contradiction leaves.
const TRUST_DECAY: f64 = 0.5;

/// How fast trust comes back with each request that a report foretold.
const TRUST_GAIN: f64 = 0.05;

/// The slots used by other instances at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    others: f64,
    observed_at: MonotonicTime,
    trust: f64,
}

impl Occupancy {
    /// Returns the state before any report.
    pub(crate) const fn new() -> Self {
        Self {
            others: 0.0,
            observed_at: MonotonicTime::ZERO,
            trust: 1.0,
        }
    }

    /// Returns how much of the last sight is still worth, from 1 to 0.
    fn freshness(&self, lifetime_us: f64, now: MonotonicTime) -> f64 {
        let age_us = now.as_us().saturating_sub(self.observed_at.as_us()) as f64;
        let lives = age_us / lifetime_us.max(1.0);
        if lives > LIFETIMES_MAX {
            return 0.0;
        }
        (-lives).exp()
    }

    /// Returns the estimate, given what others use on the average upstream.
    pub(crate) fn estimate(&self, average: f64, lifetime_us: f64, now: MonotonicTime) -> f64 {
        average + (self.others - average) * self.freshness(lifetime_us, now)
    }

    /// Notes a report of `others` slots in use by other instances.
    pub(crate) fn reported(&mut self, others: f64, average: f64, now: MonotonicTime) {
        self.others = average + (others - average) * self.trust;
        self.observed_at = now;
    }

    /// Notes that a request was served; reports have proved right.
    pub(crate) fn served(&mut self) {
        self.trust += TRUST_GAIN * (1.0 - self.trust);
    }

    /// Notes a refusal: `others` slots must have been in use.
    pub(crate) fn refused(&mut self, others: f64, lifetime_us: f64, now: MonotonicTime) {
        let is_report_wrong =
            self.others + 1.0 <= others && self.freshness(lifetime_us, now) > TRUST_DECAY;
        if is_report_wrong {
            self.trust *= TRUST_DECAY;
        }
        self.others = others;
        self.observed_at = now;
    }
}
