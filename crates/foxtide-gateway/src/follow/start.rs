//! Reads the whole store: the initial read of an instance, and later full reads.

use super::Follower;
use crate::dialect::Dialect;
use crate::relay::{
    ChangesQuery,
    RelayError,
    RelayedChanges, //
};
use crate::store::{
    Changes,
    Fact,
    FleetStore,
    Freshness,
    Page, //
};
use crate::store_calls::CallPurpose;
use foxtide_core::records::Record;
use foxtide_core::registry::Members;
use foxtide_core::store::{
    StoreError,
    StoreIndex, //
};
use smol::Timer;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of pages of one read.
const PAGES_MAX: usize = 1_000;

/// How often a page other than the first is read again after a failure.
const PAGE_RETRIES_MAX: u32 = 4;

/// The mean pause before a page is read again.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The contents of the store at an index.
#[derive(Debug, Default)]
pub(super) struct Snapshot {
    /// The records of all keys.
    pub(super) records: Vec<Record>,
    /// Changes after this index may be missing.
    pub(super) index: StoreIndex,
}

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    /// Reads the whole store.
    pub(super) async fn read_all(&mut self) -> Result<(), StoreError> {
        let has_configuration = self.has_configuration();
        if !has_configuration && self.start_from_stale().await? {
            return Ok(());
        }
        let purpose = if has_configuration {
            CallPurpose::Recovery
        } else {
            CallPurpose::Start
        };
        let snapshot = self.read_pages(Freshness::Current, purpose).await?;
        self.replace(snapshot.records, snapshot.index);
        Ok(())
    }

    async fn read_pages(
        &self,
        freshness: Freshness,
        purpose: CallPurpose,
    ) -> Result<Snapshot, StoreError> {
        let mut snapshot = Snapshot::default();
        let mut after = String::new();
        for page in 0..PAGES_MAX {
            let read = self.read_page(&after, freshness, purpose).await?;
            if page > 0 && snapshot.index.era() != read.index.era() {
                // Changes of one era do not complete the pages of another.
                return Err(StoreError::Unknown {
                    step: "read",
                    peer: "store".to_owned(),
                    cause: "the store was restored from a backup during the read".to_owned(),
                });
            }
            // Pages are read at different indices; changes are read from the oldest one.
            snapshot.index = match page {
                0 => read.index,
                _ => snapshot.index.min(read.index),
            };
            if let Some(last) = read.records.last() {
                after.clone_from(&last.key);
            }
            let is_last = !read.has_more || read.records.is_empty();
            snapshot.records.extend(read.records);
            if is_last {
                break;
            }
        }
        Ok(snapshot)
    }

    /// Reads a page, with retries: a read of many pages that began again after each failure
    /// would never end while the store is slow.
    async fn read_page(
        &self,
        after: &str,
        freshness: Freshness,
        purpose: CallPurpose,
    ) -> Result<Page, StoreError> {
        let retries = if after.is_empty() {
            0
        } else {
            PAGE_RETRIES_MAX
        };
        for _ in 0..retries {
            self.shared.store_calls.count(purpose, 1);
            match self.store.read_page(after, freshness).await {
                Ok(page) => return Ok(page),
                Err(error) => log::debug!("failed to read a page: {error}"),
            }
            Timer::after(PAGE_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
        self.shared.store_calls.count(purpose, 1);
        self.store.read_page(after, freshness).await
    }

    /// Starts from stale pages, which are cheaper, and the changes since; returns `false` if
    /// the changes have been compacted.
    ///
    /// Only valid without prior state: stale pages would bring back outdated facts.
    async fn start_from_stale(&mut self) -> Result<bool, StoreError> {
        let snapshot = self
            .read_pages(Freshness::MayBeStale, CallPurpose::StartStale)
            .await?;
        let Some((changes, index)) = self.changes_since(&snapshot).await? else {
            return Ok(false);
        };
        self.start_from_snapshot(&snapshot, &changes, index);
        if let Some(newer_configuration) = self.newer_configuration.take() {
            self.apply_newer_configuration(newer_configuration);
        }
        Ok(true)
    }

    /// Returns the changes since a snapshot, from a watcher or from the store.
    async fn changes_since(
        &mut self,
        snapshot: &Snapshot,
    ) -> Result<Option<(Vec<Record>, StoreIndex)>, StoreError> {
        if let Ok(changes) = self.ask_listed_watcher(snapshot).await {
            self.merge_peer_quarantine(&changes);
            self.newer_configuration = changes.configuration;
            if !changes.is_full {
                return Ok(Some((changes.records, changes.index)));
            }
        }
        self.shared.store_calls.count(CallPurpose::Start, 1);
        match self.store.changes(snapshot.index, Duration::ZERO).await? {
            Changes::Followed { records, index } => Ok(Some((records, index))),
            Changes::Compacted => Ok(None),
        }
    }

    /// Asks one of the watchers in a snapshot for the changes since. Only one is asked: after
    /// a power loss of the whole fleet, none of them has any state.
    async fn ask_listed_watcher(
        &mut self,
        snapshot: &Snapshot,
    ) -> Result<RelayedChanges, RelayError> {
        let watchers = self.listed_watchers(snapshot);
        if watchers.is_empty() {
            return Err(RelayError::NoPeer);
        }
        let query = ChangesQuery {
            after: Some(snapshot.index),
            fetches_large: true,
            version: self.configuration_version(snapshot),
            ..ChangesQuery::default()
        };
        self.relay.ask(&watchers, &query).await
    }

    /// Returns the version of the configuration in a snapshot; 0 for none.
    fn configuration_version(&self, snapshot: &Snapshot) -> u64 {
        let facts = self.facts(&snapshot.records);
        let versions = facts.iter().filter_map(|fact| match fact {
            Fact::Configuration(document) => Some(document.version),
            _ => None,
        });
        versions.max().unwrap_or_default()
    }

    /// Returns the addresses to ask for the changes since a snapshot: the watchers or, after
    /// a restore from a backup, all instances, since only they know what the store has lost.
    fn listed_watchers(&self, snapshot: &Snapshot) -> Vec<SocketAddr> {
        let place = &self.shared.options.place;
        let mut members = Members::default();
        for fact in self.facts(&snapshot.records) {
            match fact {
                Fact::Joined(member) if member.instance != place.instance => {
                    members.join(member, self.shared.clock.now());
                }
                _ => {}
            }
        }
        let mut watchers = members.watchers(&place.region);
        if watchers.is_empty() && snapshot.index.era() > 0 {
            watchers = members.all().collect();
        }
        Members::sort_by_proximity(&mut watchers, &place.requester());
        let addresses = watchers.into_iter().map(|watcher| watcher.peer_address);
        addresses.collect()
    }
}
