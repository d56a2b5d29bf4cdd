//! Tracks sessions, which lock keys until they expire.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::{
    Duration,
    Instant, //
};

/// What happens to a session's keys when it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SessionBehavior {
    /// The keys are unlocked.
    #[default]
    Release,
    /// The keys are deleted.
    Delete,
}

/// An open session.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) name: String,
    /// The time to live after a renewal; unlimited if `None`.
    pub(super) ttl: Option<Duration>,
    pub(super) behavior: SessionBehavior,
    /// How long its keys cannot be locked after it ends.
    pub(super) lock_delay: Duration,
    renewed_at: Instant,
}

impl Session {
    /// Returns a session renewed at `now`.
    pub(super) fn new(name: String, ttl: Option<Duration>, now: Instant) -> Self {
        Self {
            name,
            ttl,
            behavior: SessionBehavior::default(),
            lock_delay: Duration::ZERO,
            renewed_at: now,
        }
    }
}

/// The open sessions and the keys under a lock delay.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    opened: u64,
    open: BTreeMap<String, Session>,
    delayed_until: HashMap<String, Instant>,
}

impl Sessions {
    /// Opens a session and returns its ID, formatted as a UUID.
    pub(super) fn open(&mut self, session: Session) -> String {
        self.opened += 1;
        let id = format!("5e551000-0000-4000-8000-{:012x}", self.opened);
        self.open.insert(id.clone(), session);
        id
    }

    pub(super) fn is_open(&self, id: &str) -> bool {
        self.open.contains_key(id)
    }

    /// Renews a session and returns it.
    pub(super) fn renew(&mut self, id: &str, now: Instant) -> Option<Session> {
        let session = self.open.get_mut(id)?;
        session.renewed_at = now;
        Some(session.clone())
    }

    /// Removes a session and returns it.
    pub(super) fn close(&mut self, id: &str) -> Option<Session> {
        self.open.remove(id)
    }

    /// Returns the IDs of the sessions whose TTL has passed.
    pub(super) fn expired(&self, now: Instant) -> Vec<String> {
        let expired = |session: &Session| {
            let age = now.duration_since(session.renewed_at);
            session.ttl.is_some_and(|ttl| age >= ttl)
        };
        let open = self.open.iter();
        let ended = open.filter(|(_, session)| expired(session));
        ended.map(|(id, _)| id.clone()).collect()
    }

    /// Prevents a key from being locked before `until`.
    pub(super) fn delay(&mut self, key: &str, until: Instant) {
        self.delayed_until.insert(key.to_owned(), until);
    }

    /// Returns whether a key is under a lock delay.
    pub(super) fn is_delayed(&self, key: &str, now: Instant) -> bool {
        let until = self.delayed_until.get(key);
        until.is_some_and(|until| now < *until)
    }
}
