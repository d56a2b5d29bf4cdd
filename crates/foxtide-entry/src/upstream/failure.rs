//! Failed attempts at upstreams.

use crate::errors::Step;
use foxtide_core::outcome::Outcome;
use foxtide_http::MessageError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Cause of a failed attempt.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FailureKind {
    /// The time limit passed.
    #[error("timed out")]
    TimedOut,
    /// A socket operation failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The answer is malformed or truncated.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// The connection closed before an answer.
    #[error("connection closed before an answer")]
    Closed,
    /// The answer belongs to another request.
    #[error("answer belongs to another request")]
    OtherRequest,
}

/// Failed attempt.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Failed operation.
    pub(crate) step: Step,
    /// Address of the upstream.
    pub(crate) peer: SocketAddr,
    /// Number of bytes of the request that were passed to the system.
    pub(crate) sent_bytes: u64,
    /// Cause.
    pub(crate) kind: FailureKind,
}

impl Failure {
    /// Returns what is known about the execution of the request: it was
    /// certainly not executed only if no byte was sent.
    pub(crate) fn outcome(&self) -> Outcome {
        match self.sent_bytes {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.step, self.peer, self.kind)
    }
}
