//! Whether missing registrations can be believed.

use crate::time::MonotonicTime;
use std::time::Duration;

/// How long after an outage of the store upstreams that live may take to
/// register again: two seconds by the platform's word, and what a call of
/// ours may take to see it.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2_100);

/// What this instance knows of the store's own health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePhase {
    /// It has answered for a while.
    Available,
    /// Its last call failed.
    Unavailable,
    /// It answers again.
    Recovering {
        /// Since when.
        since: MonotonicTime,
    },
}

impl StorePhase {
    /// Tells whether a registration that is missing means that the upstream is
    /// gone; during an outage registrations lapse although upstreams live.
    pub fn treats_missing_as_gone(self, now: MonotonicTime) -> bool {
        match self {
            Self::Available => true,
            Self::Unavailable => false,
            Self::Recovering { since } => now - since > REGISTRATION_GRACE,
        }
    }
}
