//! Monotonic and wall clocks.

use foxtide_clock::SteadyClock;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> MonotonicTime;
    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock {
    steady: SteadyClock,
}

impl SystemClock {
    /// Returns the steady clock, for components that share its readings.
    pub fn steady(&self) -> SteadyClock {
        self.steady
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonotonicTime {
        self.steady.now()
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::ZERO + since_epoch.unwrap_or(Duration::ZERO)
    }
}
