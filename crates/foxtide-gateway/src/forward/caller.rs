//! Detects that the caller of a non-idempotent request has disconnected.

use smol::channel::Receiver;
use std::future::pending;

/// Reports the disconnect of a caller, after which its request is not sent any more.
#[derive(Debug, Default)]
pub(crate) struct CallerWatch {
    /// Closes when the caller disconnects.
    connection: Option<Receiver<()>>,
}

impl CallerWatch {
    /// Returns a watch on a caller that counts as disconnected once the channel's sender is
    /// dropped.
    pub(crate) fn new(connection: Receiver<()>) -> Self {
        Self {
            connection: Some(connection),
        }
    }

    /// Tells whether the caller has disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.connection.as_ref().is_some_and(Receiver::is_closed)
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn disconnected(&self) {
        match &self.connection {
            // Nothing is ever sent: this returns when the channel is closed.
            Some(connection) => while connection.recv().await.is_ok() {},
            None => pending().await,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use smol::channel::bounded;

    #[test]
    fn verify_a_disconnect_is_seen_without_waiting() {
        let (present, open) = bounded(1);
        let caller = CallerWatch::new(open);
        assert!(!caller.is_disconnected());
        drop(present);
        assert!(caller.is_disconnected());
        assert!(!CallerWatch::default().is_disconnected());
    }
}
