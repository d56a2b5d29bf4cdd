//! Whether the instance is stopping, and when it may end.

use event_listener::Event;
use futures_lite::future::or;
use smol::Timer;
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
const IDLE_CLOSE_PART: f64 = 0.25;

/// What is left of the grace time when the process ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// Counts what is open and tells of the stop.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    is_stopping: AtomicBool,
    closes_idle: AtomicBool,
    connections: AtomicUsize,
    changed: Event,
}

/// A connection that counts as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection<'a>(&'a Lifecycle);

impl Lifecycle {
    /// Begins the stop.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Tells whether the instance is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
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
    pub(crate) async fn drained(&self, grace: Duration) {
        let started = Instant::now();
        Timer::at(started + grace.mul_f64(IDLE_CLOSE_PART)).await;
        self.closes_idle.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        let none_open = self.until(|lifecycle| lifecycle.connections.load(Ordering::SeqCst) == 0);
        let over = async {
            Timer::at(started + grace.saturating_sub(GRACE_MARGIN)).await;
        };
        or(none_open, over).await;
    }

    async fn until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            if holds(self) {
                return;
            }
            let changed = self.changed.listen();
            if holds(self) {
                return;
            }
            changed.await;
        }
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
