//! A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone,
//! "Logical Physical Clocks", OPODIS 2014).
//!
//! Its times stay near the wall clock, and the time of an event is above the
//! times of all events that could have caused it, however the wall clocks
//! differ.

use crate::time::{
    CLOCK_SKEW_MAX,
    WallTime, //
};
use crate::{
    Error,
    Result, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// The most by which another process's time may lie ahead of the wall clock
/// before it is taken for that of a broken clock and not followed.
pub const CLOCK_LEAD_MAX: Duration = CLOCK_SKEW_MAX;

const EXPECTED: &str = "microseconds since 1970 and a counter, such as `1750000000000000+2`";

/// A time of a hybrid logical clock; ordered.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// The latest wall time known to the process.
    pub wall_us: WallTime,
    /// Tells apart the events of one `wall_us`.
    pub counter: u32,
}

impl HybridTime {
    fn successor(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self::at(self.wall_us + Duration::from_micros(1)),
        }
    }

    fn at(wall_us: WallTime) -> Self {
        Self {
            wall_us,
            counter: 0,
        }
    }

    /// Tells whether the time lies further ahead of the wall clock than two
    /// sound clocks can differ.
    pub fn is_ahead(self, wall: WallTime) -> bool {
        self.wall_us.since(wall) > CLOCK_LEAD_MAX
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.wall_us.as_us(), self.counter)
    }
}

impl FromStr for HybridTime {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let bad = || Error::parse(text, EXPECTED);
        let (wall, counter) = text.split_once('+').ok_or_else(bad)?;
        Ok(Self {
            wall_us: WallTime::from_us(wall.parse().map_err(|_| bad())?),
            counter: counter.parse().map_err(|_| bad())?,
        })
    }
}

/// The clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    latest: HybridTime,
}

impl HybridClock {
    /// Returns the time of a new local event or of a message to be sent.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        let next = self.latest.successor();
        self.latest = next.max(HybridTime::at(wall));
        self.latest
    }

    /// Returns the time of the arrival of a message that was sent at `remote`.
    ///
    /// A time that [is ahead](HybridTime::is_ahead) is not followed, so that
    /// one broken clock cannot drag the others along; order against that
    /// process is then not kept.
    pub fn observe(&mut self, remote: HybridTime, wall: WallTime) -> HybridTime {
        if !remote.is_ahead(wall) {
            self.latest = self.latest.max(remote);
        }
        self.tick(wall)
    }

    /// Returns the time of the latest event.
    pub fn latest(&self) -> HybridTime {
        self.latest
    }
}
