//! The outcome of a request that foxtide answers itself.

use crate::{
    Error,
    Result, //
};
use std::fmt;
use std::str::FromStr;

/// Whether an upstream has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No attempt has run or will run: a retry is safe.
    NotRun,
    /// An attempt may have run or may still run.
    Unknown,
    /// An attempt has run and its whole response is known.
    Done,
}

impl Outcome {
    /// Returns the outcome's value in the response header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "done" => Ok(Self::Done),
            _ => Err(Error::parse(text, "`not-run`, `unknown` or `done`")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_outcomes_round_trip() {
        for outcome in [Outcome::NotRun, Outcome::Unknown, Outcome::Done] {
            assert_eq!(outcome.to_string().parse::<Outcome>().unwrap(), outcome);
        }
        assert!("NotRun".parse::<Outcome>().is_err());
    }
}
