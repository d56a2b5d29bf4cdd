//! The steady clock of a process.
//!
//! The clock behind [`Instant`] stands still while a machine is suspended (`CLOCK_MONOTONIC`).
//! A lease, an age or a hold that is measured by it is then taken for younger than it is: the
//! others have counted on. This clock runs on (`CLOCK_BOOTTIME`).

use foxtide_core::time::MonotonicTime;
use nix::time::{
    ClockId,
    clock_gettime, //
};
use std::time::{
    Duration,
    Instant, //
};

/// Reads the time since the process started, suspensions included.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    /// The reading at the start.
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
    /// Returns the time since the process started.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + since_boot().saturating_sub(self.origin)
    }

    /// Returns the moment as the system's own type, for timers. It is exact as long as the
    /// machine is not suspended between now and then.
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
/// Panics where the kernel has no such clock; Linux has it since 2.6.39.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(read.expect("the kernel counts the time since boot"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a clock that stands still while the machine is suspended: it must be
    /// the one that the kernel documents to run on.
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
    fn verify_moments_are_those_of_timers() {
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
