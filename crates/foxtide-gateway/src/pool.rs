//! Idle connections to upstreams, by incarnation: one that has started again knows nothing
//! of the connections that it had.

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
use std::time::Duration;

/// How long an idle connection is used again where the upstream does not say
/// how long it keeps it. Servers usually keep them for 5 s or more.
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(4);

/// What is left of the upstream's own time when a connection is given up: a
/// request must not cross the upstream's close.
const IDLE_TIME_MARGIN: Duration = Duration::from_millis(1_200);

/// The part of that time for which a connection carries a request that must
/// not run twice.
const NON_IDEMPOTENT_PART: f64 = 0.6;

#[derive(Debug)]
struct Idle {
    stream: BufferedStream,
    /// When the upstream started that it leads to.
    born_at: Option<WallTime>,
    since: MonotonicTime,
    limit: Duration,
}

/// The idle connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<UpstreamId, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection used last that is open and quiet.
    ///
    /// One on which bytes wait may hold a response to an earlier request; it
    /// is closed.
    pub(crate) fn take(
        &self,
        registration: &Registration,
        is_idempotent: bool,
        now: MonotonicTime,
    ) -> Option<BufferedStream> {
        let part = if is_idempotent {
            1.0
        } else {
            NON_IDEMPOTENT_PART
        };
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&registration.upstream)?;
        connections.retain(|connection| connection.born_at == registration.born_at);
        while let Some(connection) = connections.pop() {
            let is_fresh = now - connection.since <= connection.limit.mul_f64(part);
            if !is_fresh {
                // Those below it are older still, but may carry requests that
                // may run twice.
                connections.push(connection);
                return None;
            }
            if connection.stream.idle_state() == IdleState::Idle {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection whose last response was read to its exact end; at most
    /// `connections_max` to one upstream.
    pub(crate) fn put(
        &self,
        registration: &Registration,
        stream: BufferedStream,
        keep_alive: Option<Duration>,
        connections_max: usize,
        now: MonotonicTime,
    ) {
        let limit = keep_alive.map_or(IDLE_TIME_DEFAULT, |time| {
            time.saturating_sub(IDLE_TIME_MARGIN)
        });
        let mut idle = self.idle.lock();
        let connections = idle.entry(registration.upstream.clone()).or_default();
        if connections.len() < connections_max {
            connections.push(Idle {
                stream,
                born_at: registration.born_at,
                since: now,
                limit,
            });
        }
    }

    /// Closes the idle connections to an upstream: one beside them has fallen silent,
    /// and so may they, while new ones work.
    pub(crate) fn forget(&self, upstream: &UpstreamId) {
        self.idle.lock().remove(upstream);
    }

    /// Closes connections that were idle for too long or that their upstream
    /// has closed, and those to incarnations that `is_known` does not know.
    pub(crate) fn prune(
        &self,
        now: MonotonicTime,
        is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool,
    ) {
        let mut idle = self.idle.lock();
        idle.retain(|upstream, connections| {
            connections.retain(|connection| {
                let is_fresh = now - connection.since <= connection.limit;
                is_fresh
                    && connection.stream.idle_state() == IdleState::Idle
                    && is_known(upstream, connection.born_at)
            });
            !connections.is_empty()
        });
    }
}
