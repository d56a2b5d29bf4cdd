//! The requests that are held back.

use super::Fingerprint;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The most requests that are held back at the same time; one that is not has to end
/// upstreams again first.
const HELD_MAX: usize = 1_024;

/// By how much longer than it is told an instance holds a request back, at most: the first
/// to let it through again then finds out alone, on one upstream.
const SPREAD: f64 = 1.0;

/// The requests that an instance does not send on.
#[derive(Clone, Debug, Default)]
pub struct HeldRequests(HashMap<Fingerprint, MonotonicTime>);

impl HeldRequests {
    /// Holds a request back for `time`, or longer; `draw` is from 0 to 1 and another one
    /// with each instance.
    pub fn hold(
        &mut self,
        fingerprint: Fingerprint,
        time: Duration,
        draw: f64,
        now: MonotonicTime,
    ) {
        if self.0.len() >= HELD_MAX {
            self.prune(now);
        }
        if self.0.len() < HELD_MAX {
            let until = now + time.mul_f64(1.0 + SPREAD * draw.clamp(0.0, 1.0));
            self.0.insert(fingerprint, until);
        }
    }

    /// Lets a request through.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.0.remove(&fingerprint);
    }

    /// Returns for how long a request is still held back, where it is.
    pub fn time_left(&self, fingerprint: Fingerprint, now: MonotonicTime) -> Option<Duration> {
        let until = *self.0.get(&fingerprint)?;
        (now < until).then(|| until - now)
    }

    /// Forgets those that are let through again, and returns them.
    pub fn prune(&mut self, now: MonotonicTime) -> Vec<Fingerprint> {
        let is_over = |_: &Fingerprint, until: &mut MonotonicTime| *until <= now;
        let over = self.0.extract_if(is_over);
        over.map(|(fingerprint, _)| fingerprint).collect()
    }
}
