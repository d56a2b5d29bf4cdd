//! Interrupts waiting calls to the store after a failure or a stall.

use event_listener::Event;
use foxtide_core::store::StoreError;

/// Signals that another call to the store has failed or that the process has stalled, so
/// that the follower does not wait on a dead connection.
#[derive(Debug, Default)]
pub(crate) struct StoreAlarm(Event);

impl StoreAlarm {
    /// Raises the alarm.
    pub(crate) fn raise(&self) {
        self.0.notify(usize::MAX);
    }

    /// Waits for the alarm and returns the error of the interrupted call.
    pub(crate) async fn raised(&self) -> StoreError {
        self.0.listen().await;
        StoreError::Unknown {
            step: "watch",
            peer: "store".to_owned(),
            cause: "another call failed, or the process has stalled".to_owned(),
        }
    }
}
