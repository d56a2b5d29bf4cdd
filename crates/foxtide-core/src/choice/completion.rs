//! What became of an attempt or a poll.

use super::LoadReport;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CompletionKind {
    /// A whole answer came, other than a server error.
    Answered,
    /// A whole answer came and it is a server error.
    Failed,
    /// The upstream refused the request before it ran.
    Refused,
    /// No connection could be had; no byte of the request went out.
    NotSent,
    /// The connection broke before the whole answer had come.
    Lost,
    /// The attempt's time ran out before the whole answer had come.
    TimedOut,
    /// The caller went away, or another attempt answered first.
    Cancelled,
}

impl CompletionKind {
    /// Tells whether the upstream was heard from.
    pub(crate) const fn is_response(self) -> bool {
        matches!(self, Self::Answered | Self::Failed | Self::Refused)
    }

    /// Tells whether the upstream failed, as far as its ejection goes: refusals
    /// are no failures, and cancelled attempts say nothing.
    pub(crate) const fn failure(self) -> Option<bool> {
        match self {
            Self::Answered => Some(false),
            Self::Failed | Self::NotSent | Self::Lost | Self::TimedOut => Some(true),
            Self::Refused | Self::Cancelled => None,
        }
    }
}

/// What became of an attempt.
#[derive(Clone, Debug)]
pub struct Completion {
    /// How the attempt ended.
    pub kind: CompletionKind,
    /// The time from sending to the end of the answer, without the opening of
    /// a connection.
    pub latency: Duration,
    /// The load that the upstream reported in its answer.
    pub load: Option<LoadReport>,
    /// Whether the upstream said that it is draining.
    pub draining: bool,
}

impl Completion {
    /// Returns a completion without a load report.
    pub const fn new(kind: CompletionKind, latency: Duration) -> Self {
        Self {
            kind,
            latency,
            load: None,
            draining: false,
        }
    }
}

/// What became of a poll of an upstream's load endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// Any whole answer came.
    Answered {
        /// The load, where the answer holds one.
        load: Option<LoadReport>,
        /// Whether the upstream said that it is draining.
        draining: bool,
    },
    /// No connection could be had.
    Unreachable,
    /// No answer came in time.
    TimedOut,
}
