//! Errors of the entry, with the failed operation and the peer address.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Operation that failed.
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

/// Error of the entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("{step} {peer}: {source}")]
    Io {
        /// Failed operation.
        step: Step,
        /// Remote address, or the local address of a listener.
        peer: SocketAddr,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A worker thread could not be started.
    #[error("starting a worker thread: {source}")]
    Worker {
        /// Underlying I/O error.
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
