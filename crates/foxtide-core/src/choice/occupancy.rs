//! How many of an upstream's slots the other instances are using, estimated.
//!
//! A report tells the slots in use at one moment. What it tells of the other
//! instances' requests fades within about one latency, after which the
//! estimate is the mean over all upstreams again. A refusal says that every
//! slot was in use, whatever was reported; reports that refusals contradict
//! lose their weight.

use crate::time::MonotonicTime;
use std::time::Duration;

/// How much of the trust in reports a contradiction leaves.
const TRUST_LEFT: f64 = 0.5;

/// How fast trust comes back with each request that a report foretold.
const TRUST_GAIN: f64 = 0.05;

/// The slots used by other instances at one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    others: f64,
    seen_at: MonotonicTime,
    trust: f64,
}

impl Occupancy {
    /// Returns the state before any report.
    pub(crate) const fn new() -> Self {
        Self {
            others: 0.0,
            seen_at: MonotonicTime::ZERO,
            trust: 1.0,
        }
    }

    /// Returns how much of the last sight is still worth, from 1 to 0.
    fn freshness(&self, life: Duration, now: MonotonicTime) -> f64 {
        let age_us = (now - self.seen_at).as_micros() as f64;
        (-age_us / life.as_micros().max(1) as f64).exp()
    }

    /// Returns the estimate, given what others use on the average upstream.
    pub(crate) fn estimate(&self, usual: f64, life: Duration, now: MonotonicTime) -> f64 {
        usual + (self.others - usual) * self.freshness(life, now)
    }

    /// Notes a report of `others` slots in use by other instances.
    pub(crate) fn reported(&mut self, others: f64, usual: f64, now: MonotonicTime) {
        self.others = usual + (others - usual) * self.trust;
        self.seen_at = now;
    }

    /// Notes that a request was served; reports have proved right.
    pub(crate) fn served(&mut self) {
        self.trust += TRUST_GAIN * (1.0 - self.trust);
    }

    /// Notes a refusal: `others` slots must have been in use.
    pub(crate) fn refused(&mut self, others: f64, life: Duration, now: MonotonicTime) {
        let was_told_free = self.others + 1.0 <= others && self.freshness(life, now) > TRUST_LEFT;
        if was_told_free {
            self.trust *= TRUST_LEFT;
        }
        self.others = others;
        self.seen_at = now;
    }
}
