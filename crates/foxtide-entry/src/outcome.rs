//! What is known of a request that foxtide itself answers.

use std::fmt;

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It did not run, and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Done,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Done => "done",
        })
    }
}
