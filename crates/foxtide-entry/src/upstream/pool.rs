//! Idle connections to upstreams.
//!
//! Locks: the table of pools, then one pool; never two pools at a time, and
//! none is held while a task waits.

use crate::options::PoolOptions;
use foxtide_core::time::MonotonicTime;
use foxtide_http::{
    BufferedStream,
    IdleState, //
};
use parking_lot::{
    Mutex,
    RwLock, //
};
use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

/// How long a connection may have been idle to be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// As long as connections are kept.
    Any,
    /// Only a short time, so that the upstream is not about to close it.
    Recent,
}

#[derive(Debug)]
struct IdleConnection {
    stream: BufferedStream,
    since: MonotonicTime,
}

/// What is known of one upstream's connections.
#[derive(Debug, Default)]
struct Pool {
    idle: Mutex<Vec<IdleConnection>>,
    /// Whether the upstream has named the request in an answer.
    echoes_request_id: AtomicBool,
}

/// The idle connections to all upstreams, by address.
#[derive(Debug)]
pub(crate) struct Pools {
    options: PoolOptions,
    by_address: RwLock<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    /// Returns empty pools.
    pub(crate) fn new(options: PoolOptions) -> Self {
        Self {
            options,
            by_address: RwLock::default(),
        }
    }

    /// Returns the options.
    pub(crate) fn options(&self) -> &PoolOptions {
        &self.options
    }

    /// Takes the most recently used connection that is open and quiet.
    ///
    /// One on which bytes wait may hold an answer to an earlier request; it is
    /// closed.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        freshness: Freshness,
        now: MonotonicTime,
    ) -> Option<BufferedStream> {
        let pool = Arc::clone(self.by_address.read().get(&address)?);
        let idle_time = match freshness {
            Freshness::Any => self.options.idle_time,
            Freshness::Recent => self.options.idle_time_non_idempotent,
        };
        let mut idle = pool.idle.lock();
        while let Some(connection) = idle.pop_if(|last| now - last.since <= idle_time) {
            if connection.stream.idle_state() == IdleState::Idle {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its exact end.
    ///
    /// At most `limit` are kept.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        stream: BufferedStream,
        limit: usize,
        now: MonotonicTime,
    ) {
        let pool = self.pool(address);
        let mut idle = pool.idle.lock();
        if idle.len() < self.options.idle_connections.min(limit) {
            let since = now;
            idle.push(IdleConnection { stream, since });
        }
    }

    /// Notes that an upstream names the request in its answers.
    ///
    /// From then on an answer without a name is not taken for the answer to
    /// the request at hand: it may have come early or twice.
    pub(crate) fn mark_echoes_request_id(&self, address: SocketAddr) {
        let pool = self.pool(address);
        pool.echoes_request_id.store(true, Ordering::Relaxed);
    }

    /// Tells whether an upstream is to name the request in its answers.
    pub(crate) fn echoes_request_id(&self, address: SocketAddr) -> bool {
        if self.options.request_id_echo_required {
            return true;
        }
        let by_address = self.by_address.read();
        let pool = by_address.get(&address);
        pool.is_some_and(|pool| pool.echoes_request_id.load(Ordering::Relaxed))
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        if let Some(pool) = self.by_address.read().get(&address) {
            return Arc::clone(pool);
        }
        let mut by_address = self.by_address.write();
        Arc::clone(by_address.entry(address).or_default())
    }

    /// Closes connections that were idle for too long or have been closed by
    /// their upstream.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        let pools: Vec<Arc<Pool>> = self.by_address.read().values().cloned().collect();
        for pool in pools {
            pool.idle.lock().retain(|connection| {
                let recent = now - connection.since <= self.options.idle_time;
                recent && connection.stream.idle_state() == IdleState::Idle
            });
        }
    }

    /// Forgets all upstreams but these.
    pub(crate) fn retain(&self, addresses: &HashSet<SocketAddr>) {
        let mut by_address = self.by_address.write();
        by_address.retain(|address, _| addresses.contains(address));
    }
}
