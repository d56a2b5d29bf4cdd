//! The error type of the gateway, with the step and the peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// The step at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Binding a listener.
    Bind,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Bind => "binding",
        })
    }
}

/// What went wrong while an instance was started.
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
}
