//! The clocks of the request path.

use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

/// Reads the time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the steady clock's reading.
    fn now(&self) -> MonotonicTime;
    /// Returns the wall clock's reading.
    fn wall(&self) -> WallTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl SystemClock {
    /// Returns the moment at which the steady clock reads zero.
    pub fn origin(&self) -> Instant {
        self.origin
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.origin.elapsed()
    }

    fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::ZERO + since_epoch.unwrap_or(Duration::ZERO)
    }
}
