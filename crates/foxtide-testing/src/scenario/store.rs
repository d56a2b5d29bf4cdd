//! The store of a scenario, which its operators and instances share.

use foxtide_core::store::{
    SessionId,
    Store,
    StoreEntry,
    StoreError,
    StoreIndex,
    StoreListing,
    StoreResult, //
};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const PEER: &str = "scenario";

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// No call reaches it.
    Down,
    /// Its answers take this long, also those to watches.
    Slow(Duration),
    /// The next writes take effect and their answers are lost, this many.
    LosingAnswers(u32),
    /// The next write takes effect, its answer is lost, and it is down then.
    DownAfterWrite,
}

/// A key-value store with check-and-set in memory.
///
/// Calls end at once; a scenario counts the time of a slow store itself. It
/// has no sessions, as nothing in a scenario holds one.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelStore(Arc<Mutex<Contents>>);

#[derive(Debug, Default)]
struct Contents {
    index: u64,
    entries: BTreeMap<String, StoreEntry>,
    fault: StoreFault,
}

impl ModelStore {
    /// Sets what is wrong.
    pub(super) fn set_fault(&self, fault: StoreFault) {
        self.0.lock().fault = fault;
    }

    /// Returns what is wrong.
    pub(super) fn fault(&self) -> StoreFault {
        self.0.lock().fault
    }

    /// Returns how long an answer takes; `None` where none comes.
    pub(super) fn answer_time(&self) -> Option<Duration> {
        match self.fault() {
            StoreFault::Down => None,
            StoreFault::Slow(time) => Some(time),
            _ => Some(Duration::ZERO),
        }
    }
}

impl Contents {
    fn reach(&self, step: &'static str) -> StoreResult<()> {
        if self.fault != StoreFault::Down {
            return Ok(());
        }
        Err(StoreError::NotSent {
            step,
            peer: PEER.to_owned(),
            cause: "connection refused".to_owned(),
        })
    }

    /// Loses the answer to a write that took effect, where the fault says so.
    fn answer_write(&mut self, step: &'static str) -> StoreResult<()> {
        self.fault = match self.fault {
            StoreFault::LosingAnswers(0) | StoreFault::None => return Ok(()),
            StoreFault::LosingAnswers(left) => StoreFault::LosingAnswers(left - 1),
            StoreFault::DownAfterWrite => StoreFault::Down,
            StoreFault::Down | StoreFault::Slow(_) => return Ok(()),
        };
        Err(StoreError::Unknown {
            step,
            peer: PEER.to_owned(),
            cause: "the connection was closed".to_owned(),
        })
    }

    fn index_of(&self, key: &str) -> StoreIndex {
        let entry = self.entries.get(key);
        entry.map_or(StoreIndex::ABSENT, |entry| entry.index)
    }
}

fn no_sessions<T>(step: &'static str) -> StoreResult<T> {
    Err(StoreError::Rejected {
        step,
        peer: PEER.to_owned(),
        status: 501,
        cause: "a scenario's store has no sessions".to_owned(),
    })
}

impl Store for ModelStore {
    async fn read(&self, key: &str) -> StoreResult<Option<StoreEntry>> {
        let contents = self.0.lock();
        contents.reach("read")?;
        Ok(contents.entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> StoreResult<StoreListing> {
        let contents = self.0.lock();
        contents.reach("list")?;
        let entries = contents.entries.values();
        let below = entries.filter(|entry| entry.key.starts_with(prefix));
        Ok(StoreListing {
            entries: below.cloned().collect(),
            index: StoreIndex::new(contents.index),
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        _after: StoreIndex,
        _wait: Duration,
    ) -> StoreResult<StoreListing> {
        self.list(prefix).await
    }

    async fn write(&self, key: &str, value: Vec<u8>, expected: StoreIndex) -> StoreResult<bool> {
        let mut contents = self.0.lock();
        contents.reach("write")?;
        if contents.index_of(key) != expected {
            return Ok(false);
        }
        contents.index += 1;
        let entry = StoreEntry {
            key: key.to_owned(),
            value,
            index: StoreIndex::new(contents.index),
            session: None,
        };
        contents.entries.insert(key.to_owned(), entry);
        contents.answer_write("write")?;
        Ok(true)
    }

    async fn delete(&self, key: &str, expected: StoreIndex) -> StoreResult<bool> {
        let mut contents = self.0.lock();
        contents.reach("delete")?;
        if contents.index_of(key) != expected {
            return Ok(false);
        }
        contents.index += 1;
        contents.entries.remove(key);
        contents.answer_write("delete")?;
        Ok(true)
    }

    async fn open_session(&self, _name: &str, _ttl: Duration) -> StoreResult<SessionId> {
        no_sessions("open-session")
    }

    async fn renew_session(&self, _session: &SessionId) -> StoreResult<bool> {
        no_sessions("renew-session")
    }

    async fn close_session(&self, _session: &SessionId) -> StoreResult<()> {
        no_sessions("close-session")
    }

    async fn acquire(&self, _key: &str, _value: Vec<u8>, _by: &SessionId) -> StoreResult<bool> {
        no_sessions("acquire")
    }

    async fn release(&self, _key: &str, _value: Vec<u8>, _by: &SessionId) -> StoreResult<bool> {
        no_sessions("release")
    }
}
