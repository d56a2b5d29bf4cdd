//! Tracks open connections and the graceful stop of the instance.

use event_listener::Event;
use futures_lite::future::{
    or,
    pending, //
};
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

/// The fraction of the grace time in which all requests are accepted and sent, even those that may
/// take longer than the time left: callers may not know of the stop yet.
const ACCEPT_ALL_FRACTION: f64 = 0.45;

/// The time for a reply beyond the request's deadline.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Retry-After of an instance that is stopping: the caller connects to another one, where the
/// request waits for a slot as a new one does.
pub(crate) const STOP_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Log reason of a request that cannot be served before the process ends.
pub(crate) const STOPPING_REASON: &str = "stopping";

/// The time between the cut of open requests and the end of the grace time.
const GRACE_MARGIN: Duration = Duration::from_millis(400);

/// How long the process goes on for the replies to requests that are cut at the end of the stop.
const FINAL_REPLIES_TIME: Duration = Duration::from_millis(200);

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

    /// Tells whether a request with this deadline may be accepted and sent; late in a stop,
    /// requests that may outlast the process may not.
    pub(crate) fn may_send(&self, deadline: Instant) -> bool {
        let limit = self.send_limit(deadline);
        limit.is_none_or(|limit| Instant::now() < limit)
    }

    /// Waits until a request with this deadline may not be sent any more.
    pub(crate) async fn send_window_closed(&self, deadline: Instant) {
        self.stopping().await;
        match self.send_limit(deadline) {
            Some(limit) => {
                Timer::at(limit).await;
            }
            None => pending().await,
        }
    }

    /// Returns by when a request that takes `response_time` has to be served: its deadline, or
    /// earlier if it would outlast the process.
    pub(crate) fn served_by(&self, deadline: Instant, response_time: Duration) -> Instant {
        match (self.stop.get(), self.send_limit(deadline)) {
            (Some(stop), Some(limit)) => (limit + response_time).min(stop.ends_at()),
            _ => deadline,
        }
    }

    /// Tells whether the instance is stopping and a request with this deadline may outlast the
    /// process.
    pub(crate) fn may_outlast_process(&self, deadline: Instant) -> bool {
        self.send_limit(deadline).is_some()
    }

    /// Returns until when a request may be sent that may outlast the process; `None` for one that
    /// ends before.
    fn send_limit(&self, deadline: Instant) -> Option<Instant> {
        let stop = self.stop.get()?;
        let may_outlast = deadline + REPLY_MARGIN >= stop.ends_at();
        may_outlast.then(|| stop.began_at + stop.grace.mul_f64(ACCEPT_ALL_FRACTION))
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

    /// Tells whether the process is about to end with open connections.
    pub(crate) fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::SeqCst)
    }

    /// Waits until the process is about to end with open connections. What is open then gets its
    /// reply at once.
    pub(crate) async fn ending(&self) {
        self.until(Self::is_ending).await;
    }

    /// Counts a connection as open.
    pub(crate) fn open_connection(&self) -> OpenConnection<'_> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        OpenConnection(self)
    }

    /// Closes idle connections after a fraction of the grace time, and waits until no connection is
    /// open. Requests that are open when the grace time is nearly over are cut.
    pub(crate) async fn drained(&self) {
        let Some(stop) = self.stop.get() else {
            return;
        };
        Timer::at(stop.began_at + stop.grace.mul_f64(IDLE_CLOSE_FRACTION)).await;
        self.closes_idle.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        let ends_at = stop.ends_at();
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
    /// Returns when requests are cut that are still open.
    fn ends_at(self) -> Instant {
        self.began_at + self.grace.saturating_sub(GRACE_MARGIN)
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
