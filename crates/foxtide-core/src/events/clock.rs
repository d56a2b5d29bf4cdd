//! A hybrid logical clock (Kulkarni, Demirbas, Madappa, Avva and Leone,
//! "Logical Physical Clocks", OPODIS 2014).
//!
//! Timestamps stay close to the wall clock, and the timestamp of an event is
//! greater than those of all events that may have caused it, despite clock skew.

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

/// The maximum lead of a remote timestamp over the wall clock; the clock ignores others.
pub const CLOCK_LEAD_MAX: Duration = CLOCK_SKEW_MAX;

const EXPECTED: &str = "microseconds since 1970 and a counter, such as `1750000000000000+2`";

/// A timestamp of a hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// The latest wall-clock time known to the process.
    pub wall_us: WallTime,
    /// Orders events with the same `wall_us`.
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

    /// Returns whether the timestamp leads the wall clock by more than [`CLOCK_LEAD_MAX`].
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
        let invalid = || Error::parse(text, EXPECTED);
        let (wall, counter) = text.split_once('+').ok_or_else(invalid)?;
        Ok(Self {
            wall_us: WallTime::from_us(wall.parse().map_err(|_| invalid())?),
            counter: counter.parse().map_err(|_| invalid())?,
        })
    }
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    latest: HybridTime,
}

impl HybridClock {
    /// Returns the timestamp of a local event or of a message to send.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        let next = self.latest.successor();
        self.latest = next.max(HybridTime::at(wall));
        self.latest
    }

    /// Returns the timestamp of the receipt of a message that was sent at `remote`.
    ///
    /// A remote timestamp that [is ahead](HybridTime::is_ahead) is ignored, so that
    /// a faulty clock does not advance others; its events may then be out of order.
    pub fn observe(&mut self, remote: HybridTime, wall: WallTime) -> HybridTime {
        if !remote.is_ahead(wall) {
            self.latest = self.latest.max(remote);
        }
        self.tick(wall)
    }

    /// Returns the latest timestamp.
    pub fn latest(&self) -> HybridTime {
        self.latest
    }
}
