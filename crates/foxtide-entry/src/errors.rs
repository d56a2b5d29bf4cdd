//! The error type of the request path, with the step and the peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The step of the request path at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Binding a listener.
    Bind,
    /// Accepting a connection.
    Accept,
    /// Connecting to an upstream.
    Connect,
    /// Sending a request to an upstream.
    SendRequest,
    /// Reading an upstream's answer.
    ReadAnswer,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bind => "binding",
            Self::Accept => "accepting a connection on",
            Self::Connect => "connecting to",
            Self::SendRequest => "sending a request to",
            Self::ReadAnswer => "reading the answer of",
        })
    }
}

/// What went wrong on the request path.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket failed.
    #[error("{step} {peer}: {source}")]
    Io {
        /// What was being done.
        step: Step,
        /// The other end, or the own address of a listener.
        peer: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A worker thread could not be started.
    #[error("starting a worker thread: {source}")]
    Worker {
        /// The system's error.
        source: io::Error,
    },
}

impl Error {
    pub(crate) fn io(step: Step, peer: SocketAddr, source: io::Error) -> Self {
        Self::Io { step, peer, source }
    }

    pub(crate) fn worker(source: io::Error) -> Self {
        Self::Worker { source }
    }
}
