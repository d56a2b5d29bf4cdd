//! What can go wrong between two processes.

use foxtide_core::ids::InstanceId;
use std::io;
use std::net::SocketAddr;

/// The result of a fallible operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, at which step and with which peer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket of this instance cannot be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A peer cannot be connected to; nothing was sent.
    #[error("connect to {peer}: {source}")]
    Connect {
        /// The peer's address.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// An exchange with a peer broke off after something was sent.
    #[error("exchange with {peer}: {source}")]
    Exchange {
        /// The peer's address.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A peer's answer cannot be read or does not fit the request.
    #[error("answer of {peer}: {reason}")]
    InvalidResponse {
        /// The peer's address.
        peer: SocketAddr,
        /// What is wrong with it.
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

    pub(crate) fn invalid_response(peer: SocketAddr, reason: &'static str) -> Self {
        Self::InvalidResponse { peer, reason }
    }

    pub(crate) fn timed_out() -> io::Error {
        io::Error::from(io::ErrorKind::TimedOut)
    }
}

/// Why a call to a peer has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The peer cannot have begun the call: no byte of it was sent, or the
    /// peer said that it did not take it.
    #[error("call to {instance} not sent: {reason}")]
    NotSent {
        /// Whom the call was for.
        instance: InstanceId,
        /// What stood in the way.
        reason: String,
    },
    /// The call may have been carried out.
    #[error("call to {instance} has no answer: {reason}")]
    Unknown {
        /// Whom the call was for.
        instance: InstanceId,
        /// What happened to the answer.
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
