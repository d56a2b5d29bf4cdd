//! The steady clock of the process.

use foxtide_core::time::MonotonicTime;
use std::time::Instant;

/// Reads the steady clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the process started.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.origin.elapsed()
    }

    /// Returns the reading as the system's own type, for timers.
    pub(crate) fn instant(&self, time: MonotonicTime) -> Instant {
        self.origin + (time - MonotonicTime::ZERO)
    }
}
