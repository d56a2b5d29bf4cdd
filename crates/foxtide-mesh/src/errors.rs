//! Errors of the mesh.

use foxtide_core::ids::InstanceId;
use std::io;
use std::net::SocketAddr;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the mesh, by step and address.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Opening a listening socket failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
    /// Connecting to a peer failed; nothing was sent.
    #[error("cannot connect to {peer}: {source}")]
    Connect {
        /// The peer's address.
        peer: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
    /// An exchange with a peer failed after data may have been sent.
    #[error("exchange with {peer} failed: {source}")]
    Exchange {
        /// The peer's address.
        peer: SocketAddr,
        /// The operating system error.
        source: io::Error,
    },
    /// The response of a peer is malformed or does not match the request.
    #[error("invalid response from {peer}: {reason}")]
    InvalidResponse {
        /// The peer's address.
        peer: SocketAddr,
        /// Why the response is invalid.
        reason: &'static str,
    },
}

impl Error {
    pub(crate) fn listen(address: SocketAddr, source: io::Error) -> Self {
        Self::Listen { address, source }
    }

    pub(crate) fn connect(peer: SocketAddr, source: io::Error) -> Self {
        Self::Connect { peer, source }
    }

    pub(crate) fn exchange(peer: SocketAddr, source: io::Error) -> Self {
        Self::Exchange { peer, source }
    }

    pub(crate) fn invalid(peer: SocketAddr, reason: &'static str) -> Self {
        Self::InvalidResponse { peer, reason }
    }

    pub(crate) fn timed_out() -> io::Error {
        io::Error::from(io::ErrorKind::TimedOut)
    }
}

/// An error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The peer did not start the call: nothing was sent, or the peer did not
    /// accept it.
    #[error("call to {instance} was not sent: {reason}")]
    NotSent {
        /// The instance that was called.
        instance: InstanceId,
        /// Why the call was not sent or not accepted.
        reason: String,
    },
    /// No valid response arrived; the peer may have executed the call.
    #[error("outcome of the call to {instance} is unknown: {reason}")]
    Unknown {
        /// The instance that was called.
        instance: InstanceId,
        /// Why there is no valid response.
        reason: String,
    },
}

impl CallError {
    pub(crate) fn not_sent(instance: &InstanceId, reason: impl ToString) -> Self {
        Self::NotSent {
            instance: instance.clone(),
            reason: reason.to_string(),
        }
    }

    pub(crate) fn unknown(instance: &InstanceId, reason: impl ToString) -> Self {
        Self::Unknown {
            instance: instance.clone(),
            reason: reason.to_string(),
        }
    }
}
