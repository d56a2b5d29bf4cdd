//! Simulates the store that operators and instances share.

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

const PEER_NAME: &str = "scenario";

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StoreFault {
    #[default]
    None,
    /// Calls do not reach it.
    Down,
    /// Its answers take this long, including those to watches.
    Slow(Duration),
    /// This number of writes take effect, but their answers are lost.
    LosingAnswers(u32),
    /// The next write takes effect, but its answer is lost and the store goes down.
    DownAfterWrite,
}

/// An in-memory key-value store with check-and-set.
///
/// Calls return at once; the fleet adds the delay of a slow store. Sessions are not
/// supported, as no scenario uses them.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelStore(Arc<Mutex<StoreState>>);

#[derive(Debug, Default)]
struct StoreState {
    index: u64,
    entries: BTreeMap<String, StoreEntry>,
    fault: StoreFault,
}

impl ModelStore {
    pub(super) fn set_fault(&self, fault: StoreFault) {
        self.0.lock().fault = fault;
    }

    pub(super) fn fault(&self) -> StoreFault {
        self.0.lock().fault
    }

    /// Returns the delay of an answer, or `None` if the store is down.
    pub(super) fn answer_time(&self) -> Option<Duration> {
        match self.fault() {
            StoreFault::Down => None,
            StoreFault::Slow(time) => Some(time),
            _ => Some(Duration::ZERO),
        }
    }
}

impl StoreState {
    fn check_reachable(&self, step: &'static str) -> StoreResult<()> {
        if self.fault != StoreFault::Down {
            return Ok(());
        }
        Err(StoreError::NotSent {
            step,
            peer: PEER_NAME.to_owned(),
            cause: "connection refused".to_owned(),
        })
    }

    /// Fails a write that has taken effect if the fault loses its answer.
    fn apply_write_fault(&mut self, step: &'static str) -> StoreResult<()> {
        self.fault = match self.fault {
            StoreFault::LosingAnswers(0) | StoreFault::None => return Ok(()),
            StoreFault::LosingAnswers(remaining) => StoreFault::LosingAnswers(remaining - 1),
            StoreFault::DownAfterWrite => StoreFault::Down,
            StoreFault::Down | StoreFault::Slow(_) => return Ok(()),
        };
        Err(StoreError::Unknown {
            step,
            peer: PEER_NAME.to_owned(),
            cause: "the connection was closed".to_owned(),
        })
    }

    fn index_of(&self, key: &str) -> StoreIndex {
        let entry = self.entries.get(key);
        entry.map_or(StoreIndex::ABSENT, |entry| entry.index)
    }
}

fn sessions_unsupported<T>(step: &'static str) -> StoreResult<T> {
    Err(StoreError::Rejected {
        step,
        peer: PEER_NAME.to_owned(),
        status: 501,
        cause: "a scenario's store has no sessions".to_owned(),
    })
}

impl Store for ModelStore {
    async fn read(&self, key: &str) -> StoreResult<Option<StoreEntry>> {
        let state = self.0.lock();
        state.check_reachable("read")?;
        Ok(state.entries.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> StoreResult<StoreListing> {
        let state = self.0.lock();
        state.check_reachable("list")?;
        let entries = state.entries.values();
        let matching = entries.filter(|entry| entry.key.starts_with(prefix));
        Ok(StoreListing {
            entries: matching.cloned().collect(),
            index: StoreIndex::new(state.index),
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
        let mut state = self.0.lock();
        state.check_reachable("write")?;
        if state.index_of(key) != expected {
            return Ok(false);
        }
        state.index += 1;
        let entry = StoreEntry {
            key: key.to_owned(),
            value,
            index: StoreIndex::new(state.index),
            session: None,
        };
        state.entries.insert(key.to_owned(), entry);
        state.apply_write_fault("write")?;
        Ok(true)
    }

    async fn delete(&self, key: &str, expected: StoreIndex) -> StoreResult<bool> {
        let mut state = self.0.lock();
        state.check_reachable("delete")?;
        if state.index_of(key) != expected {
            return Ok(false);
        }
        state.index += 1;
        state.entries.remove(key);
        state.apply_write_fault("delete")?;
        Ok(true)
    }

    async fn open_session(&self, _name: &str, _ttl: Duration) -> StoreResult<SessionId> {
        sessions_unsupported("open-session")
    }

    async fn renew_session(&self, _session: &SessionId) -> StoreResult<bool> {
        sessions_unsupported("renew-session")
    }

    async fn close_session(&self, _session: &SessionId) -> StoreResult<()> {
        sessions_unsupported("close-session")
    }

    async fn acquire(&self, _key: &str, _value: Vec<u8>, _by: &SessionId) -> StoreResult<bool> {
        sessions_unsupported("acquire")
    }

    async fn release(&self, _key: &str, _value: Vec<u8>, _by: &SessionId) -> StoreResult<bool> {
        sessions_unsupported("release")
    }
}
