//! The interface to the platform's key-value store.
//!
//! It requires modify indices, blocking queries, check-and-set and sessions, as
//! Consul's HTTP API offers them.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// The maximum size of a value.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// The result of a call to the store.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// The index of the last change of a key or a prefix.
///
/// A restore of the store from a backup reuses numbers. Each restore begins a new era;
/// indices are ordered by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreIndex {
    /// The number of restores; 0 if the store does not report it.
    era: u64,
    number: u64,
}

impl StoreIndex {
    /// The index of a key that does not exist.
    pub const ABSENT: Self = Self::new(0);

    /// Creates the index with this number in era 0.
    pub const fn new(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// Returns the index with the same number in another era.
    pub const fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.number
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.era
    }
}

impl fmt::Display for StoreIndex {
    /// Formats the number, preceded by a known era: `2:17`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > 0 {
            write!(f, "{}:", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}

/// The identifier of a session, assigned by the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(String);

impl SessionId {
    /// Creates an identifier from its text.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// Returns the identifier as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreEntry {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The index of its last change.
    pub index: StoreIndex,
    /// The session that holds the key as a lease.
    pub session: Option<SessionId>,
}

/// A consistent listing of the entries below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreListing {
    /// The entries, ordered by key.
    pub entries: Vec<StoreEntry>,
    /// The index after which to wait for the next change.
    pub index: StoreIndex,
}

/// A consistent listing of the keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreNames {
    /// The keys, ordered.
    pub keys: Vec<String>,
    /// The index after which to wait for the next change.
    pub index: StoreIndex,
}

impl From<StoreListing> for StoreNames {
    fn from(listing: StoreListing) -> Self {
        let entries = listing.entries.into_iter();
        Self {
            keys: entries.map(|entry| entry.key).collect(),
            index: listing.index,
        }
    }
}

/// An error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not reach the store; nothing was changed.
    #[error("store {peer}, {step}: not sent: {cause}")]
    NotSent {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The response was lost or late; the call may have taken effect.
    #[error("store {peer}, {step}: outcome unknown: {cause}")]
    Unknown {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The cause.
        cause: String,
    },
    /// The store rejected the call; nothing was changed.
    #[error("store {peer}, {step}: rejected with status {status}: {cause}")]
    Rejected {
        /// The step that failed.
        step: &'static str,
        /// The store's address.
        peer: String,
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        cause: String,
    },
    /// The call was not made: the instance's call budget is used up.
    #[error("store {peer}, {step}: not sent: the call budget is used up")]
    OverBudget {
        /// The step that was not made.
        step: &'static str,
        /// The store's address.
        peer: String,
    },
}

/// A client of the platform's key-value store.
///
/// # Contract
///
/// Implementations return [`StoreError::NotSent`] and [`StoreError::Rejected`]
/// only if nothing was changed, and [`StoreError::Unknown`] in any other case.
/// Every call has a documented time limit. Callers resolve an unknown write by
/// reading the key again, and never block client requests on a call.
pub trait Store: Send + Sync + 'static {
    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = StoreResult<Option<StoreEntry>>> + Send;

    /// Lists the entries below a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = StoreResult<StoreListing>> + Send;

    /// Lists the entries below a prefix once one of them has an index above
    /// `after`, or after `wait` at the latest.
    fn watch(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<StoreListing>> + Send;

    /// Watches one key as [`Store::watch`] does; the listing holds at most that
    /// key.
    ///
    /// The default implementation watches all keys with this prefix.
    fn watch_key(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<StoreListing>> + Send {
        async move {
            let mut listing = self.watch(key, after, wait).await?;
            listing.entries.retain(|entry| entry.key == key);
            Ok(listing)
        }
    }

    /// Watches a prefix as [`Store::watch`] does and returns only the keys.
    ///
    /// The default implementation reads the values as well.
    fn watch_names(
        &self,
        prefix: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<StoreNames>> + Send {
        async move { self.watch(prefix, after, wait).await.map(StoreNames::from) }
    }

    /// Writes a key if its index is still `expected`; [`StoreIndex::ABSENT`] creates
    /// it. Returns whether it was written.
    fn write(
        &self,
        key: &str,
        value: Vec<u8>,
        expected: StoreIndex,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Deletes a key if its index is still `expected`. Returns whether it was
    /// deleted.
    fn delete(
        &self,
        key: &str,
        expected: StoreIndex,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Opens a session that expires `ttl` after its last renewal.
    fn open_session(
        &self,
        name: &str,
        ttl: Duration,
    ) -> impl Future<Output = StoreResult<SessionId>> + Send;

    /// Renews a session. Returns whether it still existed.
    fn renew_session(&self, session: &SessionId) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Closes a session and releases the keys that it holds.
    fn close_session(&self, session: &SessionId) -> impl Future<Output = StoreResult<()>> + Send;

    /// Acquires a key as a lease for a session and writes its value. Returns
    /// whether the session now holds it.
    fn acquire(
        &self,
        key: &str,
        value: Vec<u8>,
        session: &SessionId,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Writes the value of a lease and releases it. Returns whether the session
    /// held it.
    fn release(
        &self,
        key: &str,
        value: Vec<u8>,
        session: &SessionId,
    ) -> impl Future<Output = StoreResult<bool>> + Send;
}
