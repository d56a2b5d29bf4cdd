//! Monotonic and wall-clock timestamps.

use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::ops::{
    Add,
    Sub, //
};
use std::time::Duration;

macro_rules! define_time {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The clock's epoch.
            pub const ZERO: Self = Self(0);

            /// Creates a time from microseconds since the epoch.
            pub const fn from_us(us: u64) -> Self {
                Self(us)
            }

            /// Creates a time from milliseconds since the epoch.
            pub const fn from_ms(ms: u64) -> Self {
                Self(ms.saturating_mul(1_000))
            }

            /// Returns the microseconds since the epoch.
            pub const fn as_us(self) -> u64 {
                self.0
            }

            /// Returns the whole milliseconds since the epoch.
            pub const fn as_ms(self) -> u64 {
                self.0 / 1_000
            }

            /// Returns the time since `earlier`, or zero if that is later.
            pub fn since(self, earlier: Self) -> Duration {
                Duration::from_micros(self.0.saturating_sub(earlier.0))
            }

            /// Subtracts a duration, saturating at the epoch.
            pub fn saturating_sub(self, by: Duration) -> Self {
                Self(self.0.saturating_sub(duration_us(by)))
            }
        }

        impl Add<Duration> for $name {
            type Output = Self;

            fn add(self, by: Duration) -> Self {
                Self(self.0.saturating_add(duration_us(by)))
            }
        }

        impl Sub<$name> for $name {
            type Output = Duration;

            /// Returns the time since `earlier`, or zero if that is later.
            fn sub(self, earlier: Self) -> Duration {
                self.since(earlier)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
            }
        }
    };
}

fn duration_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

define_time!(
    /// A reading of the monotonic clock, in microseconds; comparable only within
    /// one process.
    MonotonicTime
);
define_time!(
    /// A reading of the wall clock, in microseconds since the Unix epoch.
    ///
    /// Clocks of different processes differ by at most [`CLOCK_SKEW_MAX`].
    WallTime
);

/// The assumed maximum skew between the wall clocks of two processes.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_millis(500);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_time_arithmetic_saturates() {
        let early = MonotonicTime::from_ms(5);
        let late = early + Duration::from_millis(7);
        assert_eq!(late - early, Duration::from_millis(7));
        assert_eq!(early - late, Duration::ZERO);
        assert_eq!(
            early.saturating_sub(Duration::from_secs(1)),
            MonotonicTime::ZERO
        );
    }

    #[test]
    fn verify_display_shows_seconds() {
        assert_eq!(WallTime::from_ms(1_500).to_string(), "1.500000s");
    }
}
