//! Holds the store's entries and applies conditional changes.

use super::sessions::{
    SessionBehavior,
    Sessions, //
};
use std::collections::BTreeMap;
use std::time::Instant;

/// The index of a selection that never changed.
///
/// Consul's indices start at 1; index 0 in a query means "do not block".
const FIRST_INDEX: u64 = 1;

/// A key with its value and metadata.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    pub(super) create_index: u64,
    pub(super) modify_index: u64,
    pub(super) lock_index: u64,
    pub(super) session: Option<String>,
}

/// The keys selected by a read or a deletion.
#[derive(Clone, Debug)]
pub(super) enum Selection {
    Key(String),
    Prefix(String),
}

impl Selection {
    fn matches(&self, key: &str) -> bool {
        match self {
            Self::Key(wanted) => wanted == key,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// The condition of a write.
#[derive(Clone, Debug)]
pub(super) enum Condition {
    None,
    /// The key has this modify index; 0 means that it does not exist.
    Index(u64),
    /// The session can lock the key or already holds it.
    Acquire(String),
    /// The session holds the key and unlocks it.
    Release(String),
}

/// The session to lock a key with does not exist.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct InvalidSession;

/// The contents of the store.
#[derive(Debug, Default)]
pub(super) struct State {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// The index at which each deleted key was deleted.
    deleted: BTreeMap<String, u64>,
    pub(super) sessions: Sessions,
}

impl State {
    /// Returns the selected entries, ordered by key.
    pub(super) fn read(&self, selection: &Selection) -> Vec<Entry> {
        let entries = self.entries.values();
        let selected = entries.filter(|entry| selection.matches(&entry.key));
        selected.cloned().collect()
    }

    /// Returns the index of the last change to the selection.
    pub(super) fn index_of(&self, selection: &Selection) -> u64 {
        let entries = self.entries.values();
        let changed = entries.filter(|entry| selection.matches(&entry.key));
        let deleted = self
            .deleted
            .iter()
            .filter(|(key, _)| selection.matches(key));
        let indices = changed.map(|entry| entry.modify_index);
        let indices = indices.chain(deleted.map(|(_, index)| *index));
        indices.max().unwrap_or(FIRST_INDEX)
    }

    /// Writes a key if the condition holds and returns whether it held.
    pub(super) fn write(
        &mut self,
        key: &str,
        value: Vec<u8>,
        condition: &Condition,
        now: Instant,
    ) -> Result<bool, InvalidSession> {
        let entry = self.entries.get(key);
        let holder = entry.and_then(|entry| entry.session.clone());
        let (allowed, holder) = match condition {
            Condition::None => (true, holder),
            Condition::Index(index) => {
                let found = entry.map_or(0, |entry| entry.modify_index);
                (found == *index, holder)
            }
            Condition::Acquire(session) => {
                if !self.sessions.is_open(session) {
                    return Err(InvalidSession);
                }
                let free = holder.is_none() && !self.sessions.is_delayed(key, now);
                let allowed = free || holder.as_ref() == Some(session);
                (allowed, Some(session.clone()))
            }
            Condition::Release(session) => (holder.as_ref() == Some(session), None),
        };
        if allowed {
            self.put(key, value, holder);
        }
        Ok(allowed)
    }

    fn put(&mut self, key: &str, value: Vec<u8>, session: Option<String>) {
        let index = self.next_index();
        let old = self.entries.get(key);
        let newly_locked = session.is_some() && old.and_then(|old| old.session.as_ref()).is_none();
        let entry = Entry {
            key: key.to_owned(),
            value,
            create_index: old.map_or(index, |old| old.create_index),
            modify_index: index,
            lock_index: old.map_or(0, |old| old.lock_index) + u64::from(newly_locked),
            session,
        };
        self.deleted.remove(key);
        self.entries.insert(key.to_owned(), entry);
    }

    /// Deletes the selection; a single key only if its index is as expected.
    pub(super) fn delete(&mut self, selection: &Selection, expected: Option<u64>) -> bool {
        let keys: Vec<String> = self.read(selection).into_iter().map(|e| e.key).collect();
        if let (Some(expected), Selection::Key(key)) = (expected, selection) {
            let found = self.entries.get(key).map(|entry| entry.modify_index);
            if found != Some(expected) {
                return false;
            }
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn remove(&mut self, key: &str) {
        let index = self.next_index();
        self.entries.remove(key);
        self.deleted.insert(key.to_owned(), index);
    }

    /// Ends a session and unlocks or deletes its keys. Returns whether the
    /// session existed.
    pub(super) fn end_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(session) = self.sessions.close(id) else {
            return false;
        };
        let held = |entry: &&Entry| entry.session.as_deref() == Some(id);
        let entries: Vec<Entry> = self.entries.values().filter(held).cloned().collect();
        for entry in entries {
            self.sessions.delay(&entry.key, now + session.lock_delay);
            match session.behavior {
                SessionBehavior::Release => self.put(&entry.key, entry.value, None),
                SessionBehavior::Delete => self.remove(&entry.key),
            }
        }
        true
    }

    /// Ends the sessions whose TTL has passed. Returns whether there were any.
    pub(super) fn expire_sessions(&mut self, now: Instant) -> bool {
        let expired = self.sessions.expired(now);
        for id in &expired {
            self.end_session(id, now);
        }
        !expired.is_empty()
    }

    fn next_index(&mut self) -> u64 {
        self.index = self.index.max(FIRST_INDEX) + 1;
        self.index
    }
}
