//! The error type of the gateway.

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

/// An error at the start of an instance.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket operation failed.
    #[error("{step} {peer}: {source}")]
    Io {
        /// The step that failed.
        step: Step,
        /// The address of the peer, or the own address of a listener.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}
