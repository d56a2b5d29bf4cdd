//! Whether the caller of a request that is not broken off is still there.

use smol::channel::Receiver;
use std::future::pending;

/// Tells when a caller has left; what of its request was not sent need not be.
#[derive(Debug, Default)]
pub(crate) struct CallerWatch {
    /// Closes when the caller has left.
    open: Option<Receiver<()>>,
}

impl CallerWatch {
    /// Returns a watch on a caller that has left once the other end of the channel is
    /// dropped.
    pub(crate) fn new(open: Receiver<()>) -> Self {
        Self { open: Some(open) }
    }

    /// Waits until the caller has left.
    pub(crate) async fn left(&self) {
        match &self.open {
            // Nothing is ever sent: this returns when the channel is closed.
            Some(open) => while open.recv().await.is_ok() {},
            None => pending().await,
        }
    }
}
