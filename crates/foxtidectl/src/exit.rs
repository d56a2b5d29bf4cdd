//! What the command's exit status means.

use std::process::ExitCode;

/// The exit status, documented in docs/operations/foxtidectl.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// It was done, or there was nothing to do.
    Done = 0,
    /// The input or the change is invalid, or was refused: nothing changed.
    Refused = 1,
    /// The command line cannot be understood: nothing changed.
    Usage = 2,
    /// Somebody else's change came first: nothing changed.
    Conflict = 3,
    /// The change may or may not have taken effect; run it again.
    Unsettled = 4,
    /// The store was not reached: nothing changed.
    StoreUnreachable = 5,
    /// No instance answered.
    InstanceUnreachable = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
