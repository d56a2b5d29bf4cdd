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
const REST_MAX: Duration = Duration::from_secs(600);

/// Why an upstream gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawal {
    /// It has asked for rest.
    Resting {
        /// How much longer it rests.
        time_left: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the incarnation of the upstream started.
    born_at: Option<WallTime>,
    rests_until: MonotonicTime,
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

    /// Returns why an incarnation of an upstream gets no requests; `None` if it may get some.
    pub fn get(
        &self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        now: MonotonicTime,
    ) -> Option<Withdrawal> {
        let entry = self.entries.get(upstream)?;
        let is_resting = entry.born_at == born_at && now < entry.rests_until;
        is_resting.then(|| Withdrawal::Resting {
            time_left: entry.rests_until - now,
        })
    }

    /// Tells whether no upstream has told this instance anything.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops what has no effect any more.
    pub fn prune(&mut self, now: MonotonicTime) {
        self.entries.retain(|_, entry| now < entry.rests_until);
    }

    /// Returns the entry of an incarnation; `None` if a later one is known.
    fn entry(&mut self, upstream: &UpstreamId, born_at: Option<WallTime>) -> Option<&mut Entry> {
        let new = Entry {
            born_at,
            rests_until: MonotonicTime::ZERO,
        };
        let entry = self.entries.entry(upstream.clone()).or_insert(new);
        if entry.born_at < born_at {
            *entry = new;
        }
        (entry.born_at == born_at).then_some(entry)
    }
}
