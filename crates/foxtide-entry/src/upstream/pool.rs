//! Pools of idle connections to upstreams.
//!
//! Lock order: the table of pools, then one pool. Two pools are never locked
//! together, and no lock is held across an await.

use crate::options::PoolOptions;
use foxtide_core::time::MonotonicTime;
use foxtide_http::{
    BufferedStream,
    CarriedRequests,
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

/// How long a reused connection may have been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// As long as connections are pooled.
    Any,
    /// A short time, so that the upstream is unlikely to be closing it.
    Recent,
}

/// Connection to an upstream, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) stream: BufferedStream,
    /// Requests that it has carried.
    pub(crate) carried: CarriedRequests,
}

impl From<BufferedStream> for UpstreamConnection {
    /// Wraps a new connection.
    fn from(stream: BufferedStream) -> Self {
        Self {
            stream,
            carried: CarriedRequests::default(),
        }
    }
}

impl UpstreamConnection {
    fn is_idle(&self) -> bool {
        self.stream.idle_state() == IdleState::Idle
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: MonotonicTime,
}

/// Connection state of one upstream.
#[derive(Debug, Default)]
struct Pool {
    idle: Mutex<Vec<IdleConnection>>,
    /// Whether the upstream has echoed a request id.
    echoes_request_id: AtomicBool,
}

/// Pools of idle connections by upstream address.
#[derive(Debug)]
pub(crate) struct Pools {
    options: PoolOptions,
    by_address: RwLock<HashMap<SocketAddr, Arc<Pool>>>,
}

impl Pools {
    pub(crate) fn new(options: PoolOptions) -> Self {
        Self {
            options,
            by_address: RwLock::default(),
        }
    }

    pub(crate) fn options(&self) -> &PoolOptions {
        &self.options
    }

    /// Takes the most recently used connection that is open and has not carried
    /// a request of the same id, whose late second answer would pass for the
    /// answer to this one.
    ///
    /// A connection with unread bytes is closed, because they may answer an
    /// earlier request.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        request: &str,
        freshness: Freshness,
        now: MonotonicTime,
    ) -> Option<UpstreamConnection> {
        let pool = Arc::clone(self.by_address.read().get(&address)?);
        let idle_time = match freshness {
            Freshness::Any => self.options.idle_time,
            Freshness::Recent => self.options.idle_time_non_idempotent,
        };
        let mut idle = pool.idle.lock();
        let mut index = idle.len();
        while index > 0 && now - idle[index - 1].since <= idle_time {
            index -= 1;
            if idle[index].connection.carried.contains(request) {
                continue;
            }
            let candidate = idle.remove(index);
            if candidate.connection.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Adds a connection whose last answer was read completely, unless as many
    /// as `limit` or the settings allow are idle already.
    pub(crate) fn put(
        &self,
        address: SocketAddr,
        connection: UpstreamConnection,
        limit: usize,
        now: MonotonicTime,
    ) {
        let pool = self.pool(address);
        let mut idle = pool.idle.lock();
        if idle.len() < self.options.idle_connections.min(limit) {
            let since = now;
            idle.push(IdleConnection { connection, since });
        }
    }

    /// Records that an upstream echoes request ids.
    ///
    /// Its later answers without an id are rejected, because they may be early
    /// or duplicates.
    pub(crate) fn mark_echoes_request_id(&self, address: SocketAddr) {
        let pool = self.pool(address);
        pool.echoes_request_id.store(true, Ordering::Relaxed);
    }

    /// Returns whether answers of an upstream must echo the request id.
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

    /// Removes connections that were idle for too long or that the upstream has
    /// closed.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        let pools: Vec<Arc<Pool>> = self.by_address.read().values().cloned().collect();
        for pool in pools {
            pool.idle.lock().retain(|idle| {
                let recent = now - idle.since <= self.options.idle_time;
                recent && idle.connection.is_idle()
            });
        }
    }

    /// Removes the pools of all addresses but these.
    pub(crate) fn retain(&self, addresses: &HashSet<SocketAddr>) {
        let mut by_address = self.by_address.write();
        by_address.retain(|address, _| addresses.contains(address));
    }
}
