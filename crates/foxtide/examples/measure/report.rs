//! Prints figures and checks them against their limits.

use std::fmt;
use std::process::ExitCode;

/// The limit of a figure.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Limit {
    /// The maximum value.
    AtMost(f64),
    /// The minimum value.
    AtLeast(f64),
    /// No limit: the figure is informative, such as the baseline of another.
    None,
}

impl Limit {
    fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
            Self::None => true,
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(most) => write!(f, "<={most}"),
            Self::AtLeast(least) => write!(f, ">={least}"),
            Self::None => f.write_str("-"),
        }
    }
}

/// Prints each figure and counts those outside their limits.
#[derive(Debug, Default)]
pub(crate) struct Report {
    violations: usize,
}

impl Report {
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str, limit: Limit) {
        let is_met = limit.is_met(value);
        let verdict = if is_met { "held" } else { "BROKEN" };
        println!("{name:<56} {value:>14.4} {unit:<12} {limit:>10} {verdict}");
        self.violations += usize::from(!is_met);
    }

    /// Prints the number of violated limits; returns success if there are none.
    pub(crate) fn exit_code(&self) -> ExitCode {
        println!("{} figure(s) outside their limits", self.violations);
        if self.violations == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
