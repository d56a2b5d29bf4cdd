//! How long work takes on an upstream's machine at a moment.

use crate::{
    Error,
    Result, //
};
use std::fmt;
use std::str::FromStr;

/// The figure of a machine at its usual speed.
const USUAL_PERCENT: f64 = 100.0;

/// Bounds of the factor by which a figure scales service times. They bound the effect of a false
/// figure; temporarily slow machines take about 2.5 times as long.
const FACTOR_MIN: f64 = 0.5;
const FACTOR_MAX: f64 = 4.0;

/// The time that work takes on a machine at a moment, in percent of its usual time there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness {
    /// At least 1.
    percent: u32,
}

impl Slowness {
    /// Returns the slowness of a figure in percent. Figures above the range of a `u32` become its
    /// maximum.
    ///
    /// # Errors
    ///
    /// Fails unless the figure is finite and rounds to 1 or more: work always takes some time.
    pub fn from_percent(percent: f64) -> Result<Self> {
        if !percent.is_finite() || percent.round() < 1.0 {
            return Err(invalid(&percent.to_string()));
        }
        let percent = percent.round() as u32;
        Ok(Self { percent })
    }

    /// Returns the figure in percent.
    pub fn percent(self) -> u32 {
        self.percent
    }

    /// Returns the ratio of the time that work takes to its usual time, as reported.
    pub fn ratio(self) -> f64 {
        f64::from(self.percent) / USUAL_PERCENT
    }

    /// Returns the factor by which service times are scaled, from 0.5 to 4.
    pub fn factor(self) -> f64 {
        self.ratio().clamp(FACTOR_MIN, FACTOR_MAX)
    }
}

impl fmt::Display for Slowness {
    /// Writes the figure in percent without a unit, such as `250`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.percent.fmt(f)
    }
}

impl FromStr for Slowness {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let percent = text.trim().parse().map_err(|_| invalid(text))?;
        Self::from_percent(percent)
    }
}

fn invalid(text: &str) -> Error {
    Error::parse(text, "a slowness in percent, 1 or more, such as `250`")
}
