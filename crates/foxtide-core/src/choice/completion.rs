//! Results of attempts and polls.

use super::LoadReport;
use crate::units::RequestRate;
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CompletionKind {
    /// A complete response arrived that is not a server error.
    Answered,
    /// A complete response arrived that is a server error.
    Failed,
    /// The upstream rejected the request without running it.
    Rejected,
    /// No connection could be opened; no byte of the request was sent.
    NotSent,
    /// The connection broke before the response was complete.
    Lost,
    /// The attempt timed out before the response was complete.
    TimedOut,
    /// The caller disconnected, or another attempt answered first.
    Cancelled,
}

impl CompletionKind {
    /// Returns whether the upstream responded.
    pub(crate) const fn is_response(self) -> bool {
        matches!(self, Self::Answered | Self::Failed | Self::Rejected)
    }

    /// Returns whether the attempt counts as a failure towards ejection; `None`
    /// if it counts neither way.
    pub(crate) const fn failure(self) -> Option<bool> {
        match self {
            Self::Answered => Some(false),
            Self::Failed | Self::NotSent | Self::Lost | Self::TimedOut => Some(true),
            Self::Rejected | Self::Cancelled => None,
        }
    }
}

/// What a response states on the rate that its upstream accepts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatedRate {
    /// The upstream limits the requests of all instances together.
    Limit(RequestRate),
    /// It does not limit them.
    NoLimit,
    /// The statement cannot be decoded; what is known stays in effect.
    Unreadable,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct Completion {
    /// How the attempt ended.
    pub kind: CompletionKind,
    /// The time from sending to the end of the response, without connecting.
    pub latency: Duration,
    /// The load reported in the response.
    pub load: Option<LoadReport>,
    /// Whether the upstream announced that it is draining.
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

/// The result of polling an upstream's load endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum PollResult {
    /// Any complete response arrived.
    Answered {
        /// The load, if the response reports one.
        load: Option<LoadReport>,
        /// Whether the upstream announced that it is draining.
        draining: bool,
    },
    /// No connection could be opened.
    Unreachable,
    /// No response arrived in time.
    TimedOut,
}
