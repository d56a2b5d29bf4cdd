//! Concurrent watch calls to the store.

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

/// Target of a watch call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Target {
    /// Names of all organisations' documents.
    Names,
    /// All organisations' documents in one call.
    AllDocuments,
    /// The document with this key.
    Document(String),
}

/// Result of a successful call.
#[derive(Debug)]
pub(super) enum Response {
    Names(StoreNames),
    Documents(StoreListing),
}

impl Response {
    /// Returns the store's index in the result.
    fn index(&self) -> StoreIndex {
        match self {
            Self::Names(names) => names.index,
            Self::Documents(listing) => listing.index,
        }
    }
}

/// A finished call.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) target: Target,
    /// Index that the call waited on.
    after: StoreIndex,
    pub(super) result: StoreResult<Response>,
}

/// Concurrent calls, at most one per target.
pub(super) struct PendingCalls<S> {
    store: Arc<S>,
    options: WatchOptions,
    pending: FuturesUnordered<BoxFuture<'static, Finished>>,
    backoffs: BTreeMap<Target, Backoff>,
    jitter: fastrand::Rng,
}

impl<S: Store> PendingCalls<S> {
    /// Returns an empty set.
    pub(super) fn new(store: Arc<S>, options: WatchOptions) -> Self {
        Self {
            store,
            options,
            pending: FuturesUnordered::new(),
            backoffs: BTreeMap::new(),
            jitter: fastrand::Rng::with_seed(options.seed),
        }
    }

    /// Cancels all calls.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.backoffs.clear();
    }

    /// Returns whether a target is watched.
    pub(super) fn contains(&self, target: &Target) -> bool {
        self.backoffs.contains_key(target)
    }

    /// Starts to watch a target, which must not be watched yet.
    pub(super) fn add(&mut self, target: Target, after: StoreIndex) {
        let backoff = Backoff::new(self.options.backoff);
        self.backoffs.insert(target.clone(), backoff);
        self.start(target, after, Duration::ZERO);
    }

    /// Stops watching a target whose call has finished.
    pub(super) fn remove(&mut self, target: &Target) {
        self.backoffs.remove(target);
    }

    /// Waits for the next call to finish.
    pub(super) async fn next(&mut self) -> Option<Finished> {
        self.pending.next().await
    }

    /// Repeats a finished call after a pause, which is returned.
    pub(super) fn restart(&mut self, finished: &Finished) -> Duration {
        let pause = self.pause(finished);
        let after = match &finished.result {
            Ok(response) => next_index(finished.after, response.index()),
            Err(_) => finished.after,
        };
        self.start(finished.target.clone(), after, pause);
        pause
    }

    fn pause(&mut self, finished: &Finished) -> Duration {
        let Some(backoff) = self.backoffs.get_mut(&finished.target) else {
            return self.options.call_interval_min;
        };
        match &finished.result {
            Ok(_) => {
                backoff.record_success();
                self.options.call_interval_min
            }
            // The budget refused the call, so the store did not fail.
            Err(StoreError::OverBudget { .. }) => self.options.role_check_interval,
            Err(_) => backoff
                .record_failure(self.jitter.f64())
                .max(self.options.call_interval_min),
        }
    }

    fn start(&mut self, target: Target, after: StoreIndex, pause: Duration) {
        let store = Arc::clone(&self.store);
        let wait = self.options.wait;
        self.pending.push(Box::pin(async move {
            Timer::after(pause).await;
            let result = call(store.as_ref(), &target, after, wait).await;
            Finished {
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
) -> StoreResult<Response> {
    match target {
        Target::Names => {
            let names = store.watch_names(ORGANISATION_PREFIX, after, wait);
            names.await.map(Response::Names)
        }
        Target::AllDocuments => {
            let documents = store.watch(ORGANISATION_PREFIX, after, wait);
            documents.await.map(Response::Documents)
        }
        Target::Document(key) => {
            let document = store.watch_key(key, after, wait);
            document.await.map(Response::Documents)
        }
    }
}

/// Returns the index for the next blocking query. If the index went backwards, the store
/// was reset and the query must not block. Otherwise it is at least 1, because queries with
/// index 0 do not block.
fn next_index(waited_on: StoreIndex, returned: StoreIndex) -> StoreIndex {
    if returned < waited_on {
        return StoreIndex::ABSENT;
    }
    returned.max(StoreIndex::new(1))
}
