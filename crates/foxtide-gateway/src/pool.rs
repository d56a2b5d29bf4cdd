//! Pools idle connections to upstreams, by incarnation.

use crate::upstream_connection::UpstreamConnection;
use foxtide_core::ids::UpstreamId;
use foxtide_core::registry::Registration;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_http::{
    BufferedStream,
    IdleState, //
};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

/// Idle timeout where the upstream does not state one; servers usually allow 5 s or more.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// How long before the end of the upstream's own timeout a connection is closed, so that no
/// request crosses the upstream's close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);

/// The share of the timeout in which a connection may carry a non-idempotent request.
const NON_IDEMPOTENT_SHARE: f64 = 0.6;

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    /// When the incarnation of the upstream started.
    born_at: Option<WallTime>,
    since: MonotonicTime,
    timeout: Duration,
}

impl IdleConnection {
    fn is_idle(&self) -> bool {
        self.connection.stream.idle_state() == IdleState::Idle
    }
}

/// The idle connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<UpstreamId, Vec<IdleConnection>>>,
    /// The connections so far.
    connections: AtomicU64,
}

impl Pool {
    /// Numbers a new connection.
    pub(crate) fn open(&self, stream: BufferedStream) -> UpstreamConnection {
        let number = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        UpstreamConnection::new(stream, number)
    }

    /// Takes the most recently used connection that is open, has no unread data and may carry the
    /// request.
    ///
    /// Unread data may be a response to an earlier request; such a connection is closed.
    pub(crate) fn take(
        &self,
        registration: &Registration,
        request_id: Option<&str>,
        is_idempotent: bool,
        now: MonotonicTime,
    ) -> Option<UpstreamConnection> {
        let share = if is_idempotent {
            1.0
        } else {
            NON_IDEMPOTENT_SHARE
        };
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&registration.upstream)?;
        connections.retain(|connection| connection.born_at == registration.born_at);
        let mut index = connections.len();
        while index > 0 {
            index -= 1;
            let candidate = &connections[index];
            let is_fresh = now - candidate.since <= candidate.timeout.mul_f64(share);
            if !is_fresh {
                // Older connections may still carry idempotent requests.
                return None;
            }
            if !candidate.connection.may_carry(request_id) {
                continue;
            }
            let candidate = connections.remove(index);
            if candidate.is_idle() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read to its end, up to `connections_max` per
    /// upstream.
    pub(crate) fn put(
        &self,
        registration: &Registration,
        connection: UpstreamConnection,
        keep_alive: Option<Duration>,
        connections_max: usize,
        now: MonotonicTime,
    ) {
        let timeout = keep_alive.map_or(IDLE_TIMEOUT_DEFAULT, |time| {
            time.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let mut idle = self.idle.lock();
        let connections = idle.entry(registration.upstream.clone()).or_default();
        if connections.len() < connections_max {
            connections.push(IdleConnection {
                connection,
                born_at: registration.born_at,
                since: now,
                timeout,
            });
        }
    }

    /// Closes the idle connections to an upstream of which another connection has failed.
    pub(crate) fn close_idle(&self, upstream: &UpstreamId) {
        self.idle.lock().remove(upstream);
    }

    /// Closes all idle connections.
    pub(crate) fn close_all(&self) {
        self.idle.lock().clear();
    }

    /// Closes connections whose timeout has passed, that their upstream has closed, or whose
    /// incarnation `is_known` does not know.
    pub(crate) fn prune(
        &self,
        now: MonotonicTime,
        is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool,
    ) {
        let mut idle = self.idle.lock();
        idle.retain(|upstream, connections| {
            connections.retain(|connection| {
                let is_fresh = now - connection.since <= connection.timeout;
                is_fresh && connection.is_idle() && is_known(upstream, connection.born_at)
            });
            !connections.is_empty()
        });
    }
}
