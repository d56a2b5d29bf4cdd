//! The alarm that a call to the store has failed, or that the process has stood still.

use event_listener::Event;
use foxtide_core::store::StoreError;

/// Tells the follower that another call to the store has failed, or that the process has
/// stood still, so that it does not wait on a connection that may be dead.
#[derive(Debug, Default)]
pub(crate) struct StoreAlarm(Event);

impl StoreAlarm {
    /// Raises the alarm.
    pub(crate) fn raise(&self) {
        self.0.notify(usize::MAX);
    }

    /// Waits for the alarm and returns what it means for a waiting call.
    pub(crate) async fn raised(&self) -> StoreError {
        self.0.listen().await;
        StoreError::Unknown {
            step: "watch",
            peer: "store".to_owned(),
            cause: "another call failed, or the process has stood still".to_owned(),
        }
    }
}
