//! Exit statuses of `foxtidectl`.

use std::process::ExitCode;

/// The exit status, documented in docs/operations/foxtidectl.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded or had nothing to change.
    Done = 0,
    /// The input or the change is invalid or was refused; nothing changed.
    Refused = 1,
    /// The command line is invalid; nothing changed.
    Usage = 2,
    /// A concurrent change was accepted first; nothing changed.
    Conflict = 3,
    /// Whether the change took effect is unknown; the command can be run again.
    Unsettled = 4,
    /// The store is unreachable; nothing changed.
    StoreUnreachable = 5,
    /// No instance responded.
    InstanceUnreachable = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
