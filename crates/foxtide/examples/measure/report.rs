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
    fn holds(self, value: f64) -> bool {
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
    broken: usize,
}

impl Report {
    /// Prints one figure.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str, limit: Limit) {
        let held = limit.holds(value);
        let verdict = if held { "held" } else { "BROKEN" };
        println!("{name:<56} {value:>14.4} {unit:<12} {limit:>10} {verdict}");
        self.broken += usize::from(!held);
    }

    /// Returns success where every figure kept its limit.
    pub(crate) fn exit_code(&self) -> ExitCode {
        println!("{} figure(s) beyond their limit", self.broken);
        if self.broken == 0 {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
