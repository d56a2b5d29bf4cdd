//! Detects stalls of the process and delays requests until its state is in sync again.
//!
//! A process that is frozen, or whose machine is suspended, resumes with stale state.

use event_listener::Event;
use foxtide_core::time::MonotonicTime;
use futures_lite::future::or;
use parking_lot::Mutex;
use smol::Timer;
use std::time::Duration;

/// The minimum gap between heartbeats that counts as a stall. Heartbeats come each 0.5 s, and those
/// of a busy process are late by less.
const STALL_MIN: Duration = Duration::from_millis(1_500);

/// The maximum time that a request waits for the state to be in sync. Where neither the store nor a
/// peer answers in a few round trips, it is not known when one will.
const SYNC_WAIT: Duration = Duration::from_millis(300);

/// Tracks whether the process has stalled since its state was last in sync.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    state: Mutex<StallState>,
    synced: Event,
}

#[derive(Debug, Default)]
struct StallState {
    heartbeat_at: MonotonicTime,
    /// When the process resumed; `None` once its state is in sync.
    resumed_at: Option<MonotonicTime>,
}

impl StallDetector {
    /// Records a heartbeat; returns the duration of a stall that has just ended.
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

    /// Records a completed exchange with the store or a peer that began at `began_at`.
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

    /// Waits for a short time until the state is in sync.
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

    /// Guards against sending requests by stale state after a stall.
    #[test]
    fn verify_only_exchanges_after_a_stall_count() {
        let stall = StallDetector::default();
        for ms in (0..3_000).step_by(500) {
            assert_eq!(stall.heartbeat(at(ms)), None);
        }
        assert_eq!(
            stall.heartbeat(at(7_000)),
            Some(Duration::from_millis(4_500))
        );
        assert!(!stall.is_synced());
        // This exchange began before the stall.
        stall.synced(at(2_900));
        assert!(!stall.is_synced());
        stall.synced(at(7_001));
        assert!(stall.is_synced());
        assert_eq!(stall.heartbeat(at(7_500)), None);
    }

    #[test]
    fn verify_the_wait_times_out_without_an_answer() {
        let stall = StallDetector::default();
        stall.heartbeat(at(9_000));
        smol::block_on(stall.wait());
        assert!(!stall.is_synced());
    }
}
