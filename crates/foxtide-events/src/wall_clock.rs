//! Wall-clock time sources.

use foxtide_core::time::WallTime;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

/// A source of wall time.
#[derive(Clone, Debug, Default)]
pub enum WallClock {
    /// The system clock.
    #[default]
    System,
    /// Microseconds since the Unix epoch, set by a test.
    Manual(Arc<AtomicU64>),
}

impl WallClock {
    /// Returns the current time; times before 1970 are clamped to 1970.
    pub fn now(&self) -> WallTime {
        match self {
            Self::System => system_time(),
            Self::Manual(us) => WallTime::from_us(us.load(Ordering::Relaxed)),
        }
    }
}

fn system_time() -> WallTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let us = since_epoch.unwrap_or_default().as_micros();
    WallTime::from_us(u64::try_from(us).unwrap_or(u64::MAX))
}
