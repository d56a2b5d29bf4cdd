//! The latest statements of upstreams on their rate limits.

use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use crate::units::RequestRate;
use std::collections::HashMap;
use std::time::Duration;

/// How long the statement of an upstream that is not registered any more is kept: its
/// registration may return.
const UNREGISTERED_TTL: Duration = Duration::from_secs(60);

/// How long the statement that there is no limit is kept, so that it reaches a coordinator that
/// still enforces an earlier limit.
const UNLIMITED_TTL: Duration = Duration::from_secs(30);

/// An upstream's statement on its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// The limit; `None` if a response stated none.
    pub limit: Option<RequestRate>,
    /// When the statement held: a limit when its response arrived, the absence of a limit when
    /// the request was sent, since the response may have been made at any time after that.
    pub held_at: MonotonicTime,
}

/// A statement as one instance passes it to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// The limit; `None` if a response stated none.
    pub limit: Option<RequestRate>,
    /// The time since the statement held.
    pub age: Duration,
}

impl LimitReport {
    /// Returns the statement on the receiver's clock.
    pub(super) fn statement(&self, now: MonotonicTime) -> LimitStatement {
        LimitStatement {
            limit: self.limit,
            held_at: now.saturating_sub(self.age),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// When the incarnation of the upstream started.
    born_at: Option<WallTime>,
    statement: LimitStatement,
}

/// The latest statement of each upstream that an instance has received.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    entries: HashMap<UpstreamId, Entry>,
}

impl StatedLimits {
    /// Records a statement of the incarnation that started at `born_at`, unless a later one is
    /// known. Returns whether the limit has changed.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        born_at: Option<WallTime>,
        statement: LimitStatement,
    ) -> bool {
        let entry = Entry { born_at, statement };
        let Some(known) = self.entries.get_mut(upstream) else {
            self.entries.insert(upstream.clone(), entry);
            return statement.limit.is_some();
        };
        let is_earlier = match born_at.cmp(&known.born_at) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => statement.held_at < known.statement.held_at,
            std::cmp::Ordering::Greater => false,
        };
        if is_earlier {
            return false;
        }
        let before = std::mem::replace(known, entry);
        before.statement.limit != statement.limit
    }

    /// Returns the latest statement of an incarnation.
    pub fn get(&self, upstream: &UpstreamId, born_at: Option<WallTime>) -> Option<LimitStatement> {
        let entry = self.entries.get(upstream)?;
        (entry.born_at == born_at).then_some(entry.statement)
    }

    /// Returns the number of upstreams that state a limit.
    pub fn limited_count(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.statement.limit.is_some())
            .count()
    }

    /// Drops old statements; limits of upstreams that `is_registered` accepts are kept.
    pub fn prune(&mut self, now: MonotonicTime, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|upstream, entry| {
            let age = now - entry.statement.held_at;
            match entry.statement.limit {
                None => age < UNLIMITED_TTL,
                Some(_) => age < UNREGISTERED_TTL || is_registered(upstream),
            }
        });
    }
}
