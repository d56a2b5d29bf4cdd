//! Estimate of the slots of an upstream that other instances use.
//!
//! A load report gives the slots in use at one moment. Its weight decays within
//! about one latency, after which the estimate is the average over all
//! upstreams. A rejection proves that every slot was in use; reports that rejections
//! contradict lose weight.

use crate::time::MonotonicTime;

/// The age, in lifetimes, above which an observation is ignored.
const LIFETIMES_MAX: f64 = 8.0;

/// The factor by which a contradiction reduces the trust in reports.
const TRUST_DECAY: f64 = 0.5;

/// The share of the lost trust that each served request restores.
const TRUST_GAIN: f64 = 0.05;

/// The slots of one upstream that other instances use.
#[derive(Clone, Debug)]
pub(crate) struct Occupancy {
    others: f64,
    observed_at: MonotonicTime,
    trust: f64,
}

impl Occupancy {
    pub(crate) const fn new() -> Self {
        Self {
            others: 0.0,
            observed_at: MonotonicTime::ZERO,
            trust: 1.0,
        }
    }

    /// Returns the weight of the last observation, from 1 to 0.
    fn freshness(&self, lifetime_us: f64, now: MonotonicTime) -> f64 {
        let age_us = now.as_us().saturating_sub(self.observed_at.as_us()) as f64;
        let lifetimes = age_us / lifetime_us.max(1.0);
        if lifetimes > LIFETIMES_MAX {
            return 0.0;
        }
        (-lifetimes).exp()
    }

    /// Returns the estimate, given the average use by others.
    pub(crate) fn estimate(&self, average: f64, lifetime_us: f64, now: MonotonicTime) -> f64 {
        average + (self.others - average) * self.freshness(lifetime_us, now)
    }

    /// Records a report of `others` slots in use by other instances.
    pub(crate) fn record_report(&mut self, others: f64, average: f64, now: MonotonicTime) {
        self.others = average + (others - average) * self.trust;
        self.observed_at = now;
    }

    /// Records a served request, which confirms the reports.
    pub(crate) fn record_served(&mut self) {
        self.trust += TRUST_GAIN * (1.0 - self.trust);
    }

    /// Records a rejection: other instances must have used `others` slots.
    pub(crate) fn record_rejection(&mut self, others: f64, lifetime_us: f64, now: MonotonicTime) {
        let is_report_wrong =
            self.others + 1.0 <= others && self.freshness(lifetime_us, now) > TRUST_DECAY;
        if is_report_wrong {
            self.trust *= TRUST_DECAY;
        }
        self.others = others;
        self.observed_at = now;
    }
}
