//! The interface of the gateway to the platform's store.

use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    UpstreamId, //
};
use foxtide_core::poison::{
    Fingerprint,
    StoredEntry, //
};
use foxtide_core::records::Record;
use foxtide_core::registry::{
    Member,
    RecordChanges,
    Registration, //
};
use foxtide_core::routing::RouteDocument;
use foxtide_core::store::{
    StoreIndex,
    StoreResult, //
};
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// The maximum number of keys in one write.
pub const WRITTEN_KEYS_MAX: usize = 32;

/// The meaning of a record, or of its removal.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A version of the configuration.
    Configuration(RouteDocument),
    /// An availability zone is evacuated and gets no requests.
    Evacuated(AvailabilityZoneId),
    /// An availability zone is no longer evacuated.
    Reinstated(AvailabilityZoneId),
    /// An upstream is registered.
    Registered(Registration),
    /// The registration of an upstream is malformed.
    UpstreamUnreadable(UpstreamId),
    /// An upstream's registration has ended.
    Unregistered(UpstreamId),
    /// An instance is alive.
    Joined(Member),
    /// An instance's lease has ended.
    Left(InstanceId),
    /// A request is quarantined.
    Quarantined(StoredEntry),
    /// A request is no longer quarantined.
    Released(Fingerprint),
}

/// The required freshness of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Includes all changes that were acknowledged before the read began.
    Current,
    /// May be seconds old, and is cheaper. The changes since have to be applied before the
    /// result is used.
    MayBeStale,
}

/// A page of the contents of the store.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records of present keys, in key order.
    pub records: Vec<Record>,
    /// Changes to these keys after this index may be missing.
    pub index: StoreIndex,
    /// Whether there are keys after the last one.
    pub has_more: bool,
}

/// The changes after an index.
#[derive(Clone, Debug)]
pub enum Changes {
    /// The changes in order.
    Followed {
        /// The changed records.
        records: Vec<Record>,
        /// The index to continue from.
        index: StoreIndex,
    },
    /// The changes have been compacted; the whole store has to be read again.
    Compacted,
}

/// The id of a lease in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The platform's store, in the gateway's terms.
///
/// # Contract
///
/// An implementation only translates. Reads are linearizable unless they may be stale. Each
/// call ends within a time that the implementation states. The caller paces its calls.
pub trait FleetStore: Clone + Send + Sync + 'static {
    /// Returns the meaning of a record; `None` if it does not concern the gateway. A malformed
    /// record is logged and ends the registration under its key.
    fn fact(&self, record: &Record) -> Option<Fact>;

    /// Reads the page of keys after `after`.
    fn read_page(
        &self,
        after: &str,
        freshness: Freshness,
    ) -> impl Future<Output = StoreResult<Page>> + Send;

    /// Returns the instances that are listed as sources of copies, of `zone` or of all zones.
    /// The list may be seconds old.
    fn sources(
        &self,
        zone: Option<&AvailabilityZoneId>,
    ) -> impl Future<Output = StoreResult<Vec<Member>>> + Send;

    /// Waits for changes after `index`, for at most `wait`.
    fn changes(
        &self,
        index: StoreIndex,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<Changes>> + Send;

    /// Opens a lease that lapses `ttl` after its last renewal.
    fn open_lease(&self, ttl: Duration) -> impl Future<Output = StoreResult<LeaseId>> + Send;

    /// Writes and removes the keys of instances atomically, at most [`WRITTEN_KEYS_MAX`] of
    /// them; a source takes one more key. What is written lasts as long as the lease. Returns
    /// whether the lease existed.
    fn write_records(
        &self,
        changes: &RecordChanges,
        lease: LeaseId,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Renews a lease; returns whether it existed.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Ends a lease and removes the records under it.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = StoreResult<()>> + Send;

    /// Writes the entry of a quarantined request if the last change of its key is at the
    /// entry's index; returns whether it was written.
    fn write_quarantine(
        &self,
        entry: &StoredEntry,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Removes a request from the quarantine, if present.
    fn remove_quarantine(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Future<Output = StoreResult<()>> + Send;
}
