//! Logical requests of callers and their outcomes.

use foxtide_core::idempotency::IdempotencyKey;
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    ServiceId, //
};
use foxtide_core::outcome::Outcome;
use foxtide_core::time::MonotonicTime;
use std::fmt;
use std::str::FromStr;

/// Identifies a logical request, which all of its copies share.
pub(super) type OperationNumber = u64;

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    /// The complete response arrived.
    Done,
    /// The instance reported that the request did not run.
    NotRun,
    /// The instance reported that the outcome is unknown.
    Unknown,
    /// No response: the connection failed or the caller timed out.
    NoResponse,
}

impl From<Outcome> for CallerOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Done => Self::Done,
            Outcome::NotRun => Self::NotRun,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl fmt::Display for CallerOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::NoResponse => "nothing",
        })
    }
}

impl FromStr for CallerOutcome {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "nothing" => Ok(Self::NoResponse),
            _ => Ok(text.parse::<Outcome>()?.into()),
        }
    }
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Idempotent, without a key.
    #[default]
    Read,
    /// Not idempotent, with a key.
    Write,
}

impl fmt::Display for RequestKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Read => "read",
            Self::Write => "write",
        })
    }
}

impl FromStr for RequestKind {
    type Err = foxtide_core::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "read" => Ok(Self::Read),
            "write" => Ok(Self::Write),
            _ => Err(foxtide_core::Error::parse(text, "`read` or `write`")),
        }
    }
}

/// A logical request of one caller.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) kind: RequestKind,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) arrived_at: MonotonicTime,
    /// The instance to which the caller sent the first copy.
    pub(super) first_instance: Option<InstanceId>,
    /// Number of copies sent so far.
    pub(super) sent: u32,
    /// Round-robin position of the caller among the instances.
    pub(super) turn: usize,
    /// Number of times that an upstream started to run it.
    pub(super) runs: u32,
    /// Outcome of the latest copy; `None` while the caller waits.
    pub(super) outcome: Option<CallerOutcome>,
    /// Time of the latest outcome.
    pub(super) ended_at: MonotonicTime,
    /// Time at which the latest copy reached an instance.
    pub(super) received_at: MonotonicTime,
    /// Whether any copy was reported as not run.
    pub(super) reported_not_run: bool,
}
