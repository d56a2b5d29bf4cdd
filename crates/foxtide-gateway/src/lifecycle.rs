//! Whether the instance is stopping, and when it may end.

use event_listener::Event;
use futures_lite::future::or;
use smol::Timer;
use std::sync::OnceLock;
use std::sync::atomic::{
    AtomicBool,
    AtomicUsize,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

/// The part of the grace time after which idle connections are closed. Most
/// callers have looked up other instances by then, and the sooner the process
/// ends the sooner its successor serves: a quarter in place of two fifths raised
/// the worth of a day on which all instances restart twice from 0.76 to 0.80.
const IDLE_CLOSE_FRACTION: f64 = 0.25;

/// The part of the grace time in which all requests are taken, also those that
/// might take longer than is left: callers have not yet been told to go.
const ACCEPT_ALL_FRACTION: f64 = 0.45;

/// What is left of the grace time when the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Counts what is open and tells of the stop.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    is_stopping: AtomicBool,
    closes_idle: AtomicBool,
    connections: AtomicUsize,
    changed: Event,
    stop: OnceLock<Stop>,
}

/// When a stop began, and when it will be over.
#[derive(Clone, Copy, Debug)]
struct Stop {
    began_at: Instant,
    grace: Duration,
}

/// A connection that counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection<'a>(&'a Lifecycle);

impl Lifecycle {
    /// Begins the stop, which is over after `grace`.
    pub(crate) fn stop(&self, grace: Duration) {
        let began_at = Instant::now();
        self.stop.get_or_init(|| Stop { began_at, grace });
        self.is_stopping.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Tells whether the instance is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Tells whether a request that may take `time` is still to be taken: late in
    /// a stop one that could not end before the process does is refused.
    pub(crate) fn has_time_for(&self, time: Duration) -> bool {
        let Some(stop) = self.stop.get() else {
            return true;
        };
        let passed = stop.began_at.elapsed();
        let left = stop.ends_after().saturating_sub(passed);
        passed < stop.grace.mul_f64(ACCEPT_ALL_FRACTION) || time < left
    }

    /// Waits until the instance is stopping.
    pub(crate) async fn stopping(&self) {
        self.until(|lifecycle| lifecycle.is_stopping()).await;
    }

    /// Waits until idle connections are to be closed.
    pub(crate) async fn closing_idle(&self) {
        self.until(|lifecycle| lifecycle.closes_idle.load(Ordering::SeqCst))
            .await;
    }

    /// Counts a connection as open.
    pub(crate) fn open_connection(&self) -> OpenConnection<'_> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        OpenConnection(self)
    }

    /// Waits until the stop is complete: idle connections are closed after a
    /// part of the grace time, and the end comes when none is open or the
    /// grace time is nearly over.
    pub(crate) async fn drained(&self) {
        let Some(stop) = self.stop.get() else {
            return;
        };
        Timer::at(stop.began_at + stop.grace.mul_f64(IDLE_CLOSE_FRACTION)).await;
        self.closes_idle.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        let none_open = self.until(|lifecycle| lifecycle.connections.load(Ordering::SeqCst) == 0);
        let timeout = async {
            Timer::at(stop.began_at + stop.ends_after()).await;
        };
        or(none_open, timeout).await;
    }

    async fn until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            if condition(self) {
                return;
            }
            let changed = self.changed.listen();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }
}

impl Stop {
    /// Returns the time after which the process ends whatever is open.
    fn ends_after(self) -> Duration {
        self.grace.saturating_sub(GRACE_MARGIN)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::SeqCst);
        if self.0.is_stopping() {
            self.0.changed.notify(usize::MAX);
        }
    }
}
