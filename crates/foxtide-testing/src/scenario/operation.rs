//! What callers of a scenario want, and what they were told.

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

/// Names what a caller wants, over all the copies of its request.
pub(super) type OperationNumber = u64;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallerOutcome {
    /// It got the whole answer.
    Done,
    /// It was told that the request was not run.
    NotRun,
    /// It was told that nobody knows.
    Unknown,
    /// It got no answer: its connection broke or its time ran out.
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

/// A kind of request.
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

/// What one caller wants.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) service: ServiceId,
    pub(super) region: RegionId,
    pub(super) kind: RequestKind,
    pub(super) key: Option<IdempotencyKey>,
    pub(super) arrived_at: MonotonicTime,
    /// The instance that the caller asked first.
    pub(super) first_instance: Option<InstanceId>,
    /// How many copies of the request the caller has sent.
    pub(super) sent: u32,
    /// Which instance the caller asks first.
    pub(super) turn: usize,
    /// How often upstreams began to run it.
    pub(super) runs: u32,
    /// The latest end; none while the caller waits.
    pub(super) outcome: Option<CallerOutcome>,
    /// When the latest end was told.
    pub(super) ended_at: MonotonicTime,
    /// When the latest copy reached an instance.
    pub(super) received_at: MonotonicTime,
    /// Whether the caller was ever told that it was not run.
    pub(super) reported_not_run: bool,
}
