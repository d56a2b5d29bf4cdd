//! Outlier ejection of upstreams that fail more often than the rest.
//!
//! The failure share of an upstream is compared with that of all upstreams, so
//! that failures common to all eject none. The balancer limits the number of
//! upstreams ejected at a time.

use super::EjectionOptions;
use crate::time::MonotonicTime;

/// The weight of a new completion in the smoothed failure share.
const FAILURE_WEIGHT: f64 = 0.1;

const DOUBLINGS_MAX: u32 = 16;

/// The failures of one upstream, or of all, as this instance observes them.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRecord {
    failure_share: f64,
    completions: u32,
    ejected_until: Option<MonotonicTime>,
    ejections: u32,
}

impl FailureRecord {
    pub(crate) fn record(&mut self, failed: bool) {
        let sample = f64::from(u8::from(failed));
        self.completions = self.completions.saturating_add(1);
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
        if self.completions >= self.ejections_reset_after() {
            self.ejections = 0;
        }
    }

    /// Returns the number of completions after which past ejections no longer
    /// lengthen the next one.
    fn ejections_reset_after(&self) -> u32 {
        const COMPLETIONS_PER_EJECTION: u32 = 100;
        COMPLETIONS_PER_EJECTION.saturating_mul(self.ejections.max(1))
    }

    /// Returns whether this upstream fails far more often than the pool.
    pub(crate) fn is_outlier(&self, pool: &Self, options: &EjectionOptions) -> bool {
        let excess = self.failure_share - pool.failure_share;
        self.completions >= options.completions_min && excess >= options.excess_failures.get()
    }

    pub(crate) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(crate) fn eject(&mut self, options: &EjectionOptions, now: MonotonicTime) {
        let factor = 1u32 << self.ejections.min(DOUBLINGS_MAX);
        let duration = options
            .first_duration
            .saturating_mul(factor)
            .min(options.duration_max);
        self.ejected_until = Some(now + duration);
        self.ejections += 1;
        self.completions = 0;
        self.failure_share = 0.0;
    }

    pub(crate) fn end_ejection(&mut self) {
        self.ejected_until = None;
    }

    /// Returns and clears the end of an ejection that has expired.
    pub(crate) fn take_ended_ejection(&mut self, now: MonotonicTime) -> Option<MonotonicTime> {
        let until = self.ejected_until.filter(|until| now >= *until)?;
        self.ejected_until = None;
        Some(until)
    }
}
