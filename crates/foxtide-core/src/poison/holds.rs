//! Requests that wait until it is known whether all regions count the end of an upstream.

use super::Fingerprint;
use super::acknowledgements::ACKNOWLEDGEMENT_TIMEOUT;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The time after an end report from which a missing acknowledgement holds the request in the whole
/// region. It covers the round trip between distant regions.
pub const HOLD_DELAY: Duration = Duration::from_millis(120);

/// The time after which a hold ends that is neither lifted nor followed by a quarantine.
pub const HOLD_TIMEOUT: Duration = ACKNOWLEDGEMENT_TIMEOUT;

/// The capacity of the table; a request beyond it is not held.
const HOLDS_MAX: usize = 1_024;

/// The requests that an instance holds for a report that a region has not acknowledged in time.
///
/// Until the report is acknowledged or overdue, other requests of the same content would end more
/// upstreams than the region may know of.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    until: HashMap<Fingerprint, MonotonicTime>,
}

impl Holds {
    /// Holds a request; a later call extends the hold.
    pub fn hold(&mut self, fingerprint: Fingerprint, now: MonotonicTime) {
        self.until.retain(|_, until| now < *until);
        if self.until.len() < HOLDS_MAX {
            self.until.insert(fingerprint, now + HOLD_TIMEOUT);
        }
    }

    /// Ends the hold of a request; returns whether it was held.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        self.until.remove(&fingerprint).is_some()
    }

    /// Tells whether a request is held.
    pub fn is_held(&self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        let until = self.until.get(&fingerprint);
        until.is_some_and(|until| now < *until)
    }
}
