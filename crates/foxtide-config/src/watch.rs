//! How an instance learns of accepted changes from the store.
//!
//! Only some instances of each availability zone hold a watch; they pass on
//! what they learn. An instance that holds none makes no calls here at all.

use crate::backoff::{Backoff, BackoffOptions};
use crate::change::{self, ORGANISATION_PREFIX};
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::Organisation;
use foxtide_core::store::{Store, StoreEntry, StoreError, StoreIndex, StoreListing, StoreResult};
use foxtide_core::units::Revision;
use smol::Timer;
use smol::channel::Sender;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How the watch goes about it.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// How long a call waits for a change.
    pub wait: Duration,
    /// The least time from one answer to the next call, which bounds the calls
    /// where changes come in a burst.
    pub gap_min: Duration,
    /// How often an instance that holds no watch asks whether it should.
    pub role_check: Duration,
    /// The waits after failures.
    pub backoff: BackoffOptions,
    /// The seed of the waits' jitter; must differ between instances.
    pub seed: u64,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(55),
            gap_min: Duration::from_millis(200),
            role_check: Duration::from_secs(1),
            backoff: BackoffOptions::default(),
            seed: 0,
        }
    }
}

/// What the watch has to tell.
#[derive(Clone, Debug)]
pub enum WatchReport {
    /// A document that is newer than all before it of its organisation.
    Configuration(Arc<Organisation>),
    /// A value that cannot be used; what was in force stays so.
    Invalid {
        /// The key.
        key: String,
        /// What is wrong with the value.
        cause: String,
    },
    /// A call failed.
    Outage {
        /// Why.
        error: StoreError,
        /// When the next call is made.
        retry_in: Duration,
    },
    /// A call succeeded after failures.
    Recovered,
}

/// The watch on all organisations' documents.
///
/// `is_watcher` tells whether this instance is to hold the watch at present.
#[derive(Debug)]
pub struct ConfigurationWatch<S, R> {
    store: Arc<S>,
    is_watcher: R,
    options: WatchOptions,
    seen: Seen,
    after: StoreIndex,
    backoff: Backoff,
    jitter: fastrand::Rng,
}

impl<S: Store, R: Fn() -> bool + Send> ConfigurationWatch<S, R> {
    /// Returns a watch that has seen nothing.
    pub fn new(store: Arc<S>, is_watcher: R, options: WatchOptions) -> Self {
        Self {
            store,
            is_watcher,
            options,
            seen: Seen::default(),
            after: StoreIndex::ABSENT,
            backoff: Backoff::new(options.backoff),
            jitter: fastrand::Rng::with_seed(options.seed),
        }
    }

    /// Reads all documents once, for an instance that starts.
    ///
    /// # Errors
    ///
    /// Fails where the store does.
    pub async fn read_now(&mut self) -> StoreResult<Vec<WatchReport>> {
        let listing = self.store.list(ORGANISATION_PREFIX).await?;
        Ok(self.take(listing))
    }

    /// Watches until the channel is closed.
    pub async fn run(mut self, reports: Sender<WatchReport>) {
        while !reports.is_closed() {
            if !(self.is_watcher)() {
                Timer::after(self.options.role_check).await;
                continue;
            }
            let (found, pause) = self.step().await;
            for report in found {
                if reports.send(report).await.is_err() {
                    return;
                }
            }
            Timer::after(pause).await;
        }
    }

    /// Makes one call. Returns what it told and how long to wait after it.
    async fn step(&mut self) -> (Vec<WatchReport>, Duration) {
        let wait = self.options.wait;
        let answer = self.store.watch(ORGANISATION_PREFIX, self.after, wait);
        match answer.await {
            Ok(listing) => {
                let mut reports = Vec::new();
                if self.backoff.succeeded() {
                    reports.push(WatchReport::Recovered);
                }
                reports.extend(self.take(listing));
                (reports, self.options.gap_min)
            }
            // The store is not to blame: it was not asked.
            Err(StoreError::OverBudget { .. }) => (Vec::new(), self.options.role_check),
            Err(error) => {
                let retry_in = self.backoff.failed(self.jitter.f64());
                let pause = retry_in.max(self.options.gap_min);
                (vec![WatchReport::Outage { error, retry_in }], pause)
            }
        }
    }

    /// Takes a listing in. An index that went back means that the store was
    /// set up anew: the next call must not wait on the old one.
    fn take(&mut self, listing: StoreListing) -> Vec<WatchReport> {
        let went_back = listing.index < self.after;
        self.after = if went_back {
            StoreIndex::ABSENT
        } else {
            listing.index
        };
        let entries = listing.entries.iter();
        entries.filter_map(|entry| self.seen.take(entry)).collect()
    }
}

/// What has been told already.
#[derive(Debug, Default)]
struct Seen {
    indices: BTreeMap<String, StoreIndex>,
    revisions: BTreeMap<OrganisationId, Revision>,
}

impl Seen {
    /// Takes an entry. Returns what is new in it.
    fn take(&mut self, entry: &StoreEntry) -> Option<WatchReport> {
        let previous = self.indices.insert(entry.key.clone(), entry.index);
        if previous == Some(entry.index) {
            return None;
        }
        match change::decode(&entry.key, &entry.value) {
            Ok(document) => self.newer(document),
            Err(error) => Some(WatchReport::Invalid {
                key: entry.key.clone(),
                cause: error.to_string(),
            }),
        }
    }

    fn newer(&mut self, document: Organisation) -> Option<WatchReport> {
        let known = self.revisions.get(&document.organisation);
        if known.is_some_and(|known| *known >= document.revision) {
            return None;
        }
        let organisation = document.organisation.clone();
        self.revisions.insert(organisation, document.revision);
        Some(WatchReport::Configuration(Arc::new(document)))
    }
}
