//! Availability of the store, which decides how missing registrations are treated.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Grace period after an outage of the store in which live upstreams register again, including the
/// time for the store's answer to arrive. The platform promises two seconds.
pub const REGISTRATION_GRACE: Duration = Duration::from_millis(2_100);

/// Availability of the store to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePhase {
    /// It has answered for longer than [`REGISTRATION_GRACE`].
    Available,
    /// The last call failed.
    Unavailable,
    /// It answers again after an outage.
    Recovering {
        /// Time of the first answer.
        since: MonotonicTime,
    },
}

impl StorePhase {
    /// Returns whether a missing registration means that the upstream is gone; during
    /// an outage registrations of live upstreams may expire.
    pub fn treats_missing_as_gone(self, now: MonotonicTime) -> bool {
        match self {
            Self::Available => true,
            Self::Unavailable => false,
            Self::Recovering { since } => now - since > REGISTRATION_GRACE,
        }
    }
}
