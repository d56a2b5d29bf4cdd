//! Detects that the process has stalled still, and delays requests until its state is in sync
//! with the store again.
//!
//! A process that is frozen, or whose machine is suspended, resumes with stale state. Requests
//! that come at once would be sent by it.

use event_listener::Event;
use foxtide_core::time::MonotonicTime;
use futures_lite::future::or;
use parking_lot::Mutex;
use smol::Timer;
use std::time::Duration;

/// From what gap between two heartbeats on, which come each 0.5 s, the process counts as having
/// stalled still; a busy one is late by less.
const STALL_MIN: Duration = Duration::from_millis(1_500);

/// How long a request waits for the state to be in sync, at most: where neither the store nor
/// a peer answers in a few round trips, it is not known when one will.
const SYNC_WAIT: Duration = Duration::from_millis(300);

/// Whether the process has stalled still since its state was last in sync.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    state: Mutex<StallState>,
    synced: Event,
}

#[derive(Debug, Default)]
struct StallState {
    /// The last heartbeat.
    heartbeat_at: MonotonicTime,
    /// When the process resumed; nothing once its state is in sync.
    resumed_at: Option<MonotonicTime>,
}

impl StallDetector {
    /// Records a heartbeat; returns how long the process has just stalled still, where it has.
    pub(crate) fn heartbeat(&self, now: MonotonicTime) -> Option<Duration> {
        let mut state = self.state.lock();
        let gap = now - state.heartbeat_at;
        state.heartbeat_at = now;
        let stalled = (gap > STALL_MIN).then_some(gap);
        if stalled.is_some() {
            state.resumed_at = Some(now);
        }
        stalled
    }

    /// Records that an exchange with the store, or with peers in its place, has ended that began
    /// at `began_at`.
    pub(crate) fn synced(&self, began_at: MonotonicTime) {
        let mut state = self.state.lock();
        if state.resumed_at.is_some_and(|resumed| resumed <= began_at) {
            state.resumed_at = None;
            drop(state);
            self.synced.notify(usize::MAX);
        }
    }

    /// Tells whether the state has been in sync since the process resumed.
    pub(crate) fn is_synced(&self) -> bool {
        self.state.lock().resumed_at.is_none()
    }

    /// Waits until the state is in sync, for a short time.
    pub(crate) async fn wait(&self) {
        let synced = async {
            loop {
                let listener = self.synced.listen();
                if self.is_synced() {
                    return;
                }
                listener.await;
            }
        };
        let late = async {
            Timer::after(SYNC_WAIT).await;
        };
        or(synced, late).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> MonotonicTime {
        MonotonicTime::from_ms(ms)
    }

    /// Guards against a thawed instance that sends requests by what it knew before.
    #[test]
    fn verify_after_a_standstill_only_later_exchanges_count() {
        let stall = StallDetector::default();
        for ms in (0..3_000).step_by(500) {
            assert_eq!(stall.heartbeat(at(ms)), None);
        }
        assert_eq!(
            stall.heartbeat(at(7_000)),
            Some(Duration::from_millis(4_500))
        );
        assert!(!stall.is_synced());
        // That exchange began before.
        stall.synced(at(2_900));
        assert!(!stall.is_synced());
        stall.synced(at(7_001));
        assert!(stall.is_synced());
        assert_eq!(stall.heartbeat(at(7_500)), None);
    }

    #[test]
    fn verify_the_wait_ends_where_nobody_answers() {
        let stall = StallDetector::default();
        stall.heartbeat(at(9_000));
        smol::block_on(stall.wait());
        assert!(!stall.is_synced());
    }
}
