//! Figures and whether they keep their limits.

use std::fmt;
use std::process::ExitCode;

/// The bound that a figure is to keep.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Limit {
    /// The figure is to be at most this.
    AtMost(f64),
    /// The figure is to be at least this.
    AtLeast(f64),
    /// The figure is only told, often as another one's baseline.
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

/// Prints figures as they come and counts those beyond their limit.
#[derive(Debug, Default)]
pub(crate) struct Report {
    violations: usize,
}

impl Report {
    /// Prints one figure.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str, limit: Limit) {
        let is_met = limit.is_met(value);
        let verdict = if is_met { "held" } else { "BROKEN" };
        println!("{name:<56} {value:>14.4} {unit:<12} {limit:>10} {verdict}");
        self.violations += usize::from(!is_met);
    }

    /// Returns success where every figure kept its limit.
    pub(crate) fn exit_code(&self) -> ExitCode {
        println!("{} figure(s) beyond their limit", self.violations);
        if self.violations == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
