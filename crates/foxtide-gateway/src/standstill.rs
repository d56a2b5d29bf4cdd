//! Notices that the process has stood still, and lets requests wait until it knows again what
//! the others know.
//!
//! A process that is frozen, or whose machine is suspended, goes on with what it believed
//! before. Requests that come at once would be sent by that, though all others know better.

use event_listener::Event;
use foxtide_core::time::MonotonicTime;
use futures_lite::future::or;
use parking_lot::Mutex;
use smol::Timer;
use std::time::Duration;

/// From how long a silence of housekeeping on, which comes each 0.5 s, the process has stood
/// still; a busy one is late by less.
const STANDSTILL_MIN: Duration = Duration::from_millis(1_500);

/// How long a request waits for the news, at most: where neither the store nor a peer answers
/// in a few round trips, it is not known when one will.
const NEWS_WAIT: Duration = Duration::from_millis(300);

/// Whether the process has stood still since it last heard the news.
#[derive(Debug, Default)]
pub(crate) struct Standstill {
    state: Mutex<StandstillState>,
    over: Event,
}

#[derive(Debug, Default)]
struct StandstillState {
    /// When the process last showed that it runs.
    beat_at: MonotonicTime,
    /// When it was noticed that it had stood still; nothing once the news were heard.
    noticed_at: Option<MonotonicTime>,
}

impl Standstill {
    /// Notes that the process runs; returns how long it has just stood still, where it has.
    pub(crate) fn beat(&self, now: MonotonicTime) -> Option<Duration> {
        let mut state = self.state.lock();
        let silence = now - state.beat_at;
        state.beat_at = now;
        let stood = (silence > STANDSTILL_MIN).then_some(silence);
        if stood.is_some() {
            state.noticed_at = Some(now);
        }
        stood
    }

    /// Notes that the store, or peers in its place, have been asked since `began_at` and that
    /// what they know is taken in.
    pub(crate) fn heard(&self, began_at: MonotonicTime) {
        let mut state = self.state.lock();
        if state.noticed_at.is_some_and(|noticed| noticed <= began_at) {
            state.noticed_at = None;
            drop(state);
            self.over.notify(usize::MAX);
        }
    }

    /// Tells whether the news have been heard since the process stood still last.
    pub(crate) fn is_over(&self) -> bool {
        self.state.lock().noticed_at.is_none()
    }

    /// Waits until they have, for a short time.
    pub(crate) async fn wait(&self) {
        let heard = async {
            loop {
                let over = self.over.listen();
                if self.is_over() {
                    return;
                }
                over.await;
            }
        };
        let late = async {
            Timer::after(NEWS_WAIT).await;
        };
        or(heard, late).await;
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
    fn verify_after_a_standstill_only_later_news_count() {
        let standstill = Standstill::default();
        for ms in (0..3_000).step_by(500) {
            assert_eq!(standstill.beat(at(ms)), None);
        }
        assert_eq!(
            standstill.beat(at(7_000)),
            Some(Duration::from_millis(4_500))
        );
        assert!(!standstill.is_over());
        // What was asked before it stood still is no news.
        standstill.heard(at(2_900));
        assert!(!standstill.is_over());
        standstill.heard(at(7_001));
        assert!(standstill.is_over());
        assert_eq!(standstill.beat(at(7_500)), None);
    }

    #[test]
    fn verify_nobody_waits_for_news_that_do_not_come() {
        let standstill = Standstill::default();
        standstill.beat(at(9_000));
        smol::block_on(standstill.wait());
        assert!(!standstill.is_over());
    }
}
