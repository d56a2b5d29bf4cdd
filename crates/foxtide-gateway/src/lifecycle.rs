//! Tracks open connections and the graceful stop of the instance.

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

/// The fraction of the grace time after which idle connections are closed. Most callers have looked
/// up other instances by then. The sooner the process ends, the sooner its successor serves.
const IDLE_CLOSE_FRACTION: f64 = 0.25;

/// The fraction of the grace time in which all requests are accepted, even those that may
/// take longer than the time left: callers may not know of the stop yet.
const ACCEPT_ALL_FRACTION: f64 = 0.45;

/// The time between the end of the process and the end of the grace time.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How long the process goes on for requests that are open at the end of the stop.
const FINAL_REPLIES_TIME: Duration = Duration::from_millis(100);

/// The open connections and the stop of an instance.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    is_stopping: AtomicBool,
    closes_idle: AtomicBool,
    is_ending: AtomicBool,
    connections: AtomicUsize,
    changed: Event,
    stop: OnceLock<Stop>,
}

/// The start and the grace time of a stop.
#[derive(Clone, Copy, Debug)]
struct Stop {
    began_at: Instant,
    grace: Duration,
}

/// A guard that counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection<'a>(&'a Lifecycle);

impl Lifecycle {
    /// Begins a stop with this grace time.
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

    /// Tells whether a request that may take `time` is accepted; late in a stop, requests that
    /// may outlast the process are refused.
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

    /// Waits until idle connections have to be closed.
    pub(crate) async fn closing_idle(&self) {
        self.until(|lifecycle| lifecycle.closes_idle.load(Ordering::SeqCst))
            .await;
    }

    /// Waits until the process is about to end with open connections.
    pub(crate) async fn ending(&self) {
        self.until(|lifecycle| lifecycle.is_ending.load(Ordering::SeqCst))
            .await;
    }

    /// Counts a connection as open.
    pub(crate) fn open_connection(&self) -> OpenConnection<'_> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        OpenConnection(self)
    }

    /// Closes idle connections after a fraction of the grace time, and waits until no
    /// connection is open or the grace time is nearly over.
    pub(crate) async fn drained(&self) {
        let Some(stop) = self.stop.get() else {
            return;
        };
        Timer::at(stop.began_at + stop.grace.mul_f64(IDLE_CLOSE_FRACTION)).await;
        self.closes_idle.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        let ends_at = stop.began_at + stop.ends_after();
        if self.closes_all_by(ends_at).await {
            return;
        }
        self.is_ending.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        self.closes_all_by(ends_at + FINAL_REPLIES_TIME).await;
    }

    /// Waits until no connection is open or the deadline passes; tells whether none is.
    async fn closes_all_by(&self, deadline: Instant) -> bool {
        let none_open = async {
            self.until(|lifecycle| lifecycle.connections.load(Ordering::SeqCst) == 0)
                .await;
            true
        };
        let timeout = async {
            Timer::at(deadline).await;
            false
        };
        or(none_open, timeout).await
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
    /// Returns the time after which the process ends even with open connections.
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
