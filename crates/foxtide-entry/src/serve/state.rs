//! What all connections of a listener share: how many there are, and whether
//! the instance leaves.

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

const FINISH_POLL: Duration = Duration::from_millis(5);

/// The shared state of a listener's connections.
#[derive(Debug)]
pub(crate) struct ListenerState {
    connections: AtomicUsize,
    requests: AtomicUsize,
    draining: AtomicBool,
    closing: CloseSignal,
    /// What the bodies of requests take, in bytes.
    bodies: Limiter,
}

/// A signal to all connections; it is given by closing a channel.
#[derive(Debug)]
struct CloseSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

/// One thing under way; it is guard until this is dropped.
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
    /// Returns the state of a listener that serves.
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

    /// Counts a further connection, unless there are `limit` already.
    pub(crate) fn open_connection(self: &Arc<Self>, limit: usize) -> Option<CountGuard> {
        let guard = self.count(|state| &state.connections);
        let within = self.connections.load(Ordering::Acquire) <= limit;
        within.then_some(guard)
    }

    /// Takes room for a request's body, if there is.
    pub(crate) fn reserve_body(&self, size_bytes: usize) -> Option<Permit> {
        self.bodies.try_acquire(size_bytes)
    }

    /// Counts a request until its answer was sent, or until it ended without
    /// its caller.
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

    /// Returns how many connections are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Returns how many requests are under way.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Makes every further answer tell its caller to close the connection.
    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether the instance leaves.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Makes connections close as soon as no request is under way on them.
    pub(crate) fn close(&self) {
        self.closing.sender.close();
    }

    /// Waits until connections are to close.
    pub(crate) async fn closing(&self) {
        // Nothing is ever sent; receiving fails once the channel is closed.
        let _ = self.closing.receiver.recv().await;
    }

    /// Waits until no connection is open and no request is under way, such as
    /// one that goes on without its caller.
    pub(crate) async fn finished(&self) {
        while self.connections() > 0 || self.requests() > 0 {
            smol::Timer::after(FINISH_POLL).await;
        }
    }
}
