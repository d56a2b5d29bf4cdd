//! Whether the caller of a request that is not broken off is still there.

use smol::channel::Receiver;
use std::future::pending;

/// Tells when a caller has left; what of its request was not sent need not be.
#[derive(Debug, Default)]
pub(crate) struct CallerWatch {
    /// Closes when the caller has left.
    connection: Option<Receiver<()>>,
}

impl CallerWatch {
    /// Returns a watch on a caller that has left once the other end of the channel is
    /// dropped.
    pub(crate) fn new(connection: Receiver<()>) -> Self {
        Self {
            connection: Some(connection),
        }
    }

    /// Waits until the caller has left.
    pub(crate) async fn disconnected(&self) {
        match &self.connection {
            // Nothing is ever sent: this returns when the channel is closed.
            Some(connection) => while connection.recv().await.is_ok() {},
            None => pending().await,
        }
    }
}
