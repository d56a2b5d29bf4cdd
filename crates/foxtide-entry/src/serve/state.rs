//! State shared by the connections of a listener: counts, limits and draining.

use crate::limiter::{
    Limiter,
    Permit, //
};
use crate::options::{
    Limits,
    size, //
};
use smol::channel::{
    Receiver,
    Sender,
    bounded, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State shared by the connections of a listener.
#[derive(Debug)]
pub(crate) struct ListenerState {
    connections: AtomicUsize,
    requests: AtomicUsize,
    draining: AtomicBool,
    closing: CloseSignal,
    /// Limits the total size of request bodies, in bytes.
    bodies: Limiter,
}

/// Signal to all connections, given by closing the channel.
#[derive(Debug)]
struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

/// Counts a connection or request until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    state: Arc<ListenerState>,
    counter: fn(&ListenerState) -> &AtomicUsize,
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.state).fetch_sub(1, Ordering::AcqRel);
    }
}

impl ListenerState {
    pub(crate) fn new(limits: &Limits) -> Arc<Self> {
        let (sender, receiver) = bounded(1);
        Arc::new(Self {
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            closing: CloseSignal { sender, receiver },
            bodies: Limiter::new(size(limits.request_bodies)),
        })
    }

    /// Counts a connection, unless `limit` are open already.
    pub(crate) fn open_connection(self: &Arc<Self>, limit: usize) -> Option<CountGuard> {
        let guard = self.count(|state| &state.connections);
        let within = self.connections.load(Ordering::Acquire) <= limit;
        within.then_some(guard)
    }

    /// Reserves memory for a request body.
    pub(crate) fn reserve_body(&self, size_bytes: usize) -> Option<Permit> {
        self.bodies.try_acquire(size_bytes)
    }

    /// Counts a request in progress until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> CountGuard {
        self.count(|state| &state.requests)
    }

    fn count(self: &Arc<Self>, counter: fn(&Self) -> &AtomicUsize) -> CountGuard {
        counter(self).fetch_add(1, Ordering::AcqRel);
        CountGuard {
            state: Arc::clone(self),
            counter,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Makes every further answer announce that the connection closes.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Closes connections once they have no request in progress.
    pub(crate) fn close(&self) {
        self.closing.sender.close();
    }

    /// Waits for [`Self::close`].
    pub(crate) async fn closing(&self) {
        // Nothing is ever sent; receiving fails once the channel is closed.
        let _ = self.closing.receiver.recv().await;
    }

    /// Waits until no connection is open and no request is in progress,
    /// including requests whose caller has disconnected.
    pub(crate) async fn finished(&self) {
        while self.connections() > 0 || self.requests() > 0 {
            smol::Timer::after(FINISH_POLL_INTERVAL).await;
        }
    }
}
