//! Monotonic clock that keeps counting while the machine is suspended.
//!
//! [`Instant`] uses `CLOCK_MONOTONIC`, which stops during a suspend, so that a lease would
//! outlive its expiry on other machines. This clock uses `CLOCK_BOOTTIME`.

use foxtide_core::time::MonotonicTime;
use nix::time::{
    ClockId,
    clock_gettime, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Measures the time since its creation, including time in suspend.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    origin: Duration,
}

impl Default for SteadyClock {
    fn default() -> Self {
        Self {
            origin: since_boot(),
        }
    }
}

impl SteadyClock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Converts a time to an [`Instant`], for timers. The result is exact unless the machine
    /// is suspended in between.
    pub fn instant(&self, time: MonotonicTime) -> Instant {
        let now = self.now();
        let instant = Instant::now();
        if time >= now {
            return instant + (time - now);
        }
        instant.checked_sub(now - time).unwrap_or(instant)
    }
}

/// Returns the time since the machine started.
///
/// # Panics
///
/// Panics if the kernel lacks `CLOCK_BOOTTIME`, which Linux has since 2.6.39.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(read.expect("the kernel supports CLOCK_BOOTTIME"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a clock that stops while the machine is suspended.
    #[test]
    fn verify_time_is_that_since_boot() {
        let clock = SteadyClock::default();
        let before = since_boot();
        let read = clock.now() - MonotonicTime::ZERO + clock.origin;
        let after = since_boot();
        let step = Duration::from_micros(1);
        assert!(before <= read + step && read <= after + step);
    }

    #[test]
    fn verify_instants_match_clock_times() {
        let clock = SteadyClock::default();
        let before = Instant::now();
        let now = clock.instant(clock.now());
        let later = clock.instant(clock.now() + Duration::from_secs(5));
        let after = Instant::now();
        assert!(before <= now + Duration::from_millis(1) && now <= after);
        assert!(later - now >= Duration::from_secs(5));
        assert!(clock.instant(MonotonicTime::ZERO) <= after);
    }
}
