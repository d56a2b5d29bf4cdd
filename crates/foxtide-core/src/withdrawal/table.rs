//! What upstreams have told this instance.

use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// The longest rest. An upstream that asks for more gets a request at the end of this time, so
/// that a wrong value does not take it out of service for good.
pub(crate) const REST_MAX: Duration = Duration::from_secs(600);

/// How long the drain of an upstream that is not registered is remembered: its registration may
/// return from an instance or a store that knows less.
const UNREGISTERED_TTL: Duration = Duration::from_secs(60);

/// Why an upstream gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It has asked for rest.
    Resting {
        /// How much longer it rests.
        time_left: Duration,
    },
    /// It is leaving.
    Draining,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the incarnation of the upstream started.
    born_at: Option<WallTime>,
    rests_until: MonotonicTime,
    /// When it last stated that it is leaving.
    drain_stated_at: Option<MonotonicTime>,
}

/// The upstreams that have told this instance to send them nothing.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    entries: HashMap<UpstreamId, Entry>,
}

impl Withdrawals {
    /// Records that an incarnation of an upstream wants rest; a shorter rest does not end a
    /// longer one.
    pub fn rest(
        &mut self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        time: Duration,
        now: MonotonicTime,
    ) {
        if let Some(entry) = self.entry(upstream, born_at) {
            entry.rests_until = entry.rests_until.max(now + time.min(REST_MAX));
        }
    }

    /// Records that an incarnation of an upstream is leaving; returns whether this is new.
    pub fn drain(
        &mut self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        now: MonotonicTime,
    ) -> bool {
        let Some(entry) = self.entry(upstream, born_at) else {
            return false;
        };
        entry.drain_stated_at.replace(now).is_none()
    }

    /// Returns why an incarnation of an upstream gets no requests; `None` if it may get some.
    pub fn get(
        &self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        now: MonotonicTime,
    ) -> Option<Withdrawal> {
        let entry = self.entries.get(upstream)?;
        if entry.born_at != born_at {
            return None;
        }
        if entry.drain_stated_at.is_some() {
            return Some(Withdrawal::Draining);
        }
        let is_resting = now < entry.rests_until;
        is_resting.then(|| Withdrawal::Resting {
            time_left: entry.rests_until - now,
        })
    }

    /// Tells whether no upstream has told this instance anything.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops rests that are over, and drains of upstreams that `is_registered` does not accept
    /// and that have stated nothing for long.
    pub fn prune(&mut self, now: MonotonicTime, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|upstream, entry| {
            let is_draining = entry
                .drain_stated_at
                .is_some_and(|at| now - at < UNREGISTERED_TTL || is_registered(upstream));
            is_draining || now < entry.rests_until
        });
    }

    /// Returns the entry of an incarnation; `None` if a later one is known.
    fn entry(&mut self, upstream: &UpstreamId, born_at: Option<WallTime>) -> Option<&mut Entry> {
        let new = Entry {
            born_at,
            rests_until: MonotonicTime::ZERO,
            drain_stated_at: None,
        };
        let entry = self.entries.entry(upstream.clone()).or_insert(new);
        if entry.born_at < born_at {
            *entry = new;
        }
        (entry.born_at == born_at).then_some(entry)
    }
}
