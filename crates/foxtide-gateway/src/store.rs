//! What the gateway needs of the platform's store.

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

/// The most records that one write changes.
pub const RECORDS_MAX: usize = 32;

/// Something that the store holds or has held.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A version of the configuration.
    Configuration(RouteDocument),
    /// An availability zone is to get nothing.
    Evacuated(AvailabilityZoneId),
    /// An availability zone may get requests again.
    Reinstated(AvailabilityZoneId),
    /// An upstream has registered itself.
    Registered(Registration),
    /// What stands under an upstream's name cannot be read.
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

/// How new a reading has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows all changes that were acknowledged before it began.
    Current,
    /// It may be seconds old, and costs a tenth. What has changed since is to be followed
    /// before anything is decided from it.
    MayBeStale,
}

/// A part of what the store holds.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Keys and their values in the order of the keys; no record is of a removed key.
    pub records: Vec<Record>,
    /// All changes to these keys after this index are still to be followed.
    pub index: StoreIndex,
    /// Whether there are keys after the last one.
    pub has_more: bool,
}

/// What has changed after an index.
#[derive(Clone, Debug)]
pub enum Changes {
    /// These changes, in their order.
    Followed {
        /// What is new.
        records: Vec<Record>,
        /// Where to go on from.
        index: StoreIndex,
    },
    /// The store has forgotten them: all has to be read again.
    Compacted,
}

/// A lease on the store.
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
/// An implementer translates and decides nothing. Reads are linearizable but where the
/// caller lets them be old; each call ends within a time that the implementer states. The caller paces its
/// calls.
pub trait FleetStore: Clone + Send + Sync + 'static {
    /// Returns what a record means; nothing where it is none of the gateway's. One that
    /// cannot be read, which is logged, ends what was registered under its key.
    fn fact(&self, record: &Record) -> Option<Fact>;

    /// Reads the first keys after `after`, of all that the store holds.
    fn read_page(
        &self,
        after: &str,
        freshness: Freshness,
    ) -> impl Future<Output = StoreResult<Page>> + Send;

    /// Waits for changes after `index`, for at most `wait`.
    fn changes(
        &self,
        index: StoreIndex,
        wait: Duration,
    ) -> impl Future<Output = StoreResult<Changes>> + Send;

    /// Takes a lease that lapses `ttl` after its last renewal.
    fn open_lease(&self, ttl: Duration) -> impl Future<Output = StoreResult<LeaseId>> + Send;

    /// Writes and removes records of instances, at most [`RECORDS_MAX`], all or none.
    /// Those written stand for as long as the lease lives; tells whether it was there.
    fn write_records(
        &self,
        changes: &RecordChanges,
        lease: LeaseId,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Renews a lease; tells whether it was there.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Ends a lease, and with it what was announced under it.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = StoreResult<()>> + Send;

    /// Writes what is known of a quarantined request where the last change of its key is at
    /// the entry's index; tells whether it was.
    fn write_quarantine(
        &self,
        entry: &StoredEntry,
    ) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Removes a request from the quarantine, whether it is there or not.
    fn remove_quarantine(
        &self,
        fingerprint: Fingerprint,
    ) -> impl Future<Output = StoreResult<()>> + Send;
}
