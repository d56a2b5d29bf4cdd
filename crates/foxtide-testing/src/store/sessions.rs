//! Sessions, which hold keys until they lapse.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::{
    Duration,
    Instant, //
};

/// What becomes of a session's keys when it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SessionBehavior {
    /// They are free.
    #[default]
    Release,
    /// They are deleted.
    Delete,
}

/// An open session.
#[derive(Clone, Debug)]
pub(super) struct Session {
    pub(super) name: String,
    /// How long it lives after a renewal; without limit if `None`.
    pub(super) ttl: Option<Duration>,
    pub(super) behavior: SessionBehavior,
    /// How long its keys cannot be taken after it ended.
    pub(super) lock_delay: Duration,
    renewed_at: Instant,
}

impl Session {
    /// Returns a session that is renewed now.
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

/// The open sessions and the keys that cannot be taken yet.
#[derive(Debug, Default)]
pub(super) struct Sessions {
    opened: u64,
    open: BTreeMap<String, Session>,
    delayed_until: HashMap<String, Instant>,
}

impl Sessions {
    /// Opens a session and returns its identity, which has a UUID's form.
    pub(super) fn open(&mut self, session: Session) -> String {
        self.opened += 1;
        let id = format!("5e551000-0000-4000-8000-{:012x}", self.opened);
        self.open.insert(id.clone(), session);
        id
    }

    /// Tells whether a session is open.
    pub(super) fn is_open(&self, id: &str) -> bool {
        self.open.contains_key(id)
    }

    /// Renews a session and returns it.
    pub(super) fn renew(&mut self, id: &str, now: Instant) -> Option<Session> {
        let session = self.open.get_mut(id)?;
        session.renewed_at = now;
        Some(session.clone())
    }

    /// Forgets a session and returns what it was.
    pub(super) fn close(&mut self, id: &str) -> Option<Session> {
        self.open.remove(id)
    }

    /// Returns the sessions whose time to live has passed.
    pub(super) fn expired(&self, now: Instant) -> Vec<String> {
        let expired = |session: &Session| {
            let age = now.duration_since(session.renewed_at);
            session.ttl.is_some_and(|ttl| age >= ttl)
        };
        let open = self.open.iter();
        let ended = open.filter(|(_, session)| expired(session));
        ended.map(|(id, _)| id.clone()).collect()
    }

    /// Keeps a key from being taken until then.
    pub(super) fn delay(&mut self, key: &str, until: Instant) {
        self.delayed_until.insert(key.to_owned(), until);
    }

    /// Tells whether a key cannot be taken yet.
    pub(super) fn is_delayed(&self, key: &str, now: Instant) -> bool {
        let until = self.delayed_until.get(key);
        until.is_some_and(|until| now < *until)
    }
}
