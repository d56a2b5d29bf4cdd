//! The calls that wait at the store at the same time.

use super::WatchOptions;
use crate::backoff::Backoff;
use crate::change::ORGANISATION_PREFIX;
use foxtide_core::store::{
    Store,
    StoreError,
    StoreIndex,
    StoreListing,
    StoreNames,
    StoreResult, //
};
use futures_util::future::BoxFuture;
use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};
use smol::Timer;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// What a call waits on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// The names of all organisations' documents.
    Names,
    /// All organisations' documents.
    All,
    /// The document at this key.
    One(String),
}

/// What a call found.
#[derive(Debug)]
pub(super) enum Found {
    /// The names.
    Names(StoreNames),
    /// The documents.
    Documents(StoreListing),
}

impl Found {
    /// Returns the index to wait on next.
    fn index(&self) -> StoreIndex {
        match self {
            Self::Names(names) => names.index,
            Self::Documents(listing) => listing.index,
        }
    }
}

/// A call that has ended.
#[derive(Debug)]
pub(super) struct Ended {
    /// What it waited on.
    pub(super) target: Target,
    /// The index that it waited on.
    after: StoreIndex,
    /// What it found.
    pub(super) result: StoreResult<Found>,
}

/// The calls that wait at the same time, at most one a target.
pub(super) struct Calls<S> {
    store: Arc<S>,
    options: WatchOptions,
    waiting: FuturesUnordered<BoxFuture<'static, Ended>>,
    backoffs: BTreeMap<Target, Backoff>,
    jitter: fastrand::Rng,
}

impl<S: Store> Calls<S> {
    /// Returns no calls.
    pub(super) fn new(store: Arc<S>, options: WatchOptions) -> Self {
        Self {
            store,
            options,
            waiting: FuturesUnordered::new(),
            backoffs: BTreeMap::new(),
            jitter: fastrand::Rng::with_seed(options.seed),
        }
    }

    /// Ends all calls.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.backoffs.clear();
    }

    /// Tells whether a target is waited on.
    pub(super) fn has(&self, target: &Target) -> bool {
        self.backoffs.contains_key(target)
    }

    /// Waits on a target, which must not be waited on yet.
    pub(super) fn add(&mut self, target: Target, after: StoreIndex) {
        let backoff = Backoff::new(self.options.backoff);
        self.backoffs.insert(target.clone(), backoff);
        self.start(target, after, Duration::ZERO);
    }

    /// Stops to wait on a target whose call has ended.
    pub(super) fn remove(&mut self, target: &Target) {
        self.backoffs.remove(target);
    }

    /// Returns the next call to end.
    pub(super) async fn next(&mut self) -> Option<Ended> {
        self.waiting.next().await
    }

    /// Makes the call of an ended one anew. Returns how long it waits before
    /// it does.
    pub(super) fn again(&mut self, ended: &Ended) -> Duration {
        let pause = self.pause(ended);
        let after = match &ended.result {
            Ok(found) => next_index(ended.after, found.index()),
            Err(_) => ended.after,
        };
        self.start(ended.target.clone(), after, pause);
        pause
    }

    fn pause(&mut self, ended: &Ended) -> Duration {
        let Some(backoff) = self.backoffs.get_mut(&ended.target) else {
            return self.options.gap_min;
        };
        match &ended.result {
            Ok(_) => {
                backoff.succeeded();
                self.options.gap_min
            }
            // The store is not to blame: it was not asked.
            Err(StoreError::OverBudget { .. }) => self.options.role_check,
            Err(_) => backoff.failed(self.jitter.f64()).max(self.options.gap_min),
        }
    }

    fn start(&mut self, target: Target, after: StoreIndex, pause: Duration) {
        let store = Arc::clone(&self.store);
        let wait = self.options.wait;
        self.waiting.push(Box::pin(async move {
            Timer::after(pause).await;
            let result = call(store.as_ref(), &target, after, wait).await;
            Ended {
                target,
                after,
                result,
            }
        }));
    }
}

async fn call<S: Store>(
    store: &S,
    target: &Target,
    after: StoreIndex,
    wait: Duration,
) -> StoreResult<Found> {
    match target {
        Target::Names => {
            let names = store.watch_names(ORGANISATION_PREFIX, after, wait);
            names.await.map(Found::Names)
        }
        Target::All => {
            let documents = store.watch(ORGANISATION_PREFIX, after, wait);
            documents.await.map(Found::Documents)
        }
        Target::One(key) => {
            let document = store.watch_key(key, after, wait);
            document.await.map(Found::Documents)
        }
    }
}

/// Returns the index to wait on. One that went back means that the store was
/// set up anew, so that the next call must not wait; and it is at least 1,
/// because a call with index 0 never waits (Consul's blocking queries).
fn next_index(waited_on: StoreIndex, found: StoreIndex) -> StoreIndex {
    if found < waited_on {
        return StoreIndex::ABSENT;
    }
    found.max(StoreIndex::new(1))
}
