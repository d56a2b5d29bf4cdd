//! How an instance learns of accepted changes from the store.
//!
//! Only some instances of each availability zone hold watches; they pass on
//! what they learn. An instance that holds none makes no calls here at all.
//!
//! A watching instance waits on each organisation's document by itself and on
//! the names of all, so that a change brings it one document and not all of
//! them. Where there are more organisations than [`WatchOptions::single_max`]
//! it waits on all at once instead, which costs fewer calls and more bytes.

mod calls;
mod seen;

use crate::backoff::BackoffOptions;
use crate::change::ORGANISATION_PREFIX;
use calls::{
    Calls,
    Ended,
    Found,
    Target, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::store::{
    Store,
    StoreError,
    StoreIndex,
    StoreListing,
    StoreNames,
    StoreResult, //
};
use futures_lite::FutureExt;
use seen::Seen;
use smol::Timer;
use smol::channel::{
    SendError,
    Sender, //
};
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
    /// The most organisations whose documents are waited on one by one.
    pub single_max: usize,
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
            single_max: 64,
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
    /// A call failed, the first after others succeeded.
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
    outage: bool,
}

impl<S: Store, R: Fn() -> bool + Send> ConfigurationWatch<S, R> {
    /// Returns a watch that has seen nothing.
    pub fn new(store: Arc<S>, is_watcher: R, options: WatchOptions) -> Self {
        Self {
            store,
            is_watcher,
            options,
            seen: Seen::default(),
            outage: false,
        }
    }

    /// Reads all documents once, for an instance that starts.
    ///
    /// # Errors
    ///
    /// Fails where the store does.
    pub async fn read_now(&mut self) -> StoreResult<Vec<WatchReport>> {
        let listing = self.store.list(ORGANISATION_PREFIX).await?;
        Ok(self.take(&listing))
    }

    /// Watches until the channel is closed.
    pub async fn run(mut self, reports: Sender<WatchReport>) {
        while !reports.is_closed() {
            if (self.is_watcher)() && self.hold(&reports).await.is_err() {
                return;
            }
            Timer::after(self.options.role_check).await;
        }
    }

    /// Holds the watches for as long as the role lasts.
    async fn hold(&mut self, reports: &Sender<WatchReport>) -> Result<(), SendError<WatchReport>> {
        let mut calls = Calls::new(Arc::clone(&self.store), self.options);
        calls.add(Target::All, StoreIndex::ABSENT);
        while (self.is_watcher)() && !reports.is_closed() {
            let role_check = async {
                Timer::after(self.options.role_check).await;
                None
            };
            let Some(ended) = calls.next().or(role_check).await else {
                continue;
            };
            for report in self.step(&mut calls, ended) {
                reports.send(report).await?;
            }
        }
        Ok(())
    }

    /// Takes in what a call found and makes the next one of its target.
    fn step(&mut self, calls: &mut Calls<S>, ended: Ended) -> Vec<WatchReport> {
        match &ended.result {
            Ok(found) => {
                let mut reports = self.recovered();
                if let Found::Documents(listing) = found {
                    reports.extend(self.take(listing));
                }
                self.follow(calls, &ended, found);
                reports
            }
            Err(error) => {
                let retry_in = calls.again(&ended);
                self.failed(error, retry_in)
            }
        }
    }

    /// Waits on what a successful call showed to be there.
    fn follow(&self, calls: &mut Calls<S>, ended: &Ended, found: &Found) {
        match found {
            Found::Documents(listing) if ended.target == Target::All => {
                self.follow_all(calls, ended, listing);
            }
            Found::Documents(listing) if listing.entries.is_empty() => {
                calls.remove(&ended.target);
            }
            Found::Documents(_) => drop(calls.again(ended)),
            Found::Names(names) => self.follow_names(calls, ended, names),
        }
    }

    /// Goes on to single documents, if there are few enough.
    fn follow_all(&self, calls: &mut Calls<S>, ended: &Ended, listing: &StoreListing) {
        if listing.entries.len() > self.options.single_max {
            calls.again(ended);
            return;
        }
        calls.clear();
        calls.add(Target::Names, listing.index.max(StoreIndex::new(1)));
        for entry in &listing.entries {
            calls.add(Target::One(entry.key.clone()), entry.index);
        }
    }

    /// Waits on documents that are new; on all at once where there are many.
    fn follow_names(&self, calls: &mut Calls<S>, ended: &Ended, names: &StoreNames) {
        if names.keys.len() > self.options.single_max {
            calls.clear();
            calls.add(Target::All, StoreIndex::ABSENT);
            return;
        }
        calls.again(ended);
        for key in &names.keys {
            let target = Target::One(key.clone());
            if !calls.has(&target) {
                calls.add(target, StoreIndex::ABSENT);
            }
        }
    }

    /// Takes a listing in. Returns what is new in it.
    fn take(&mut self, listing: &StoreListing) -> Vec<WatchReport> {
        let entries = listing.entries.iter();
        entries.filter_map(|entry| self.seen.take(entry)).collect()
    }

    fn recovered(&mut self) -> Vec<WatchReport> {
        let ended = std::mem::take(&mut self.outage);
        ended
            .then_some(WatchReport::Recovered)
            .into_iter()
            .collect()
    }

    fn failed(&mut self, error: &StoreError, retry_in: Duration) -> Vec<WatchReport> {
        let held_back = matches!(error, StoreError::OverBudget { .. });
        if held_back || std::mem::replace(&mut self.outage, true) {
            return Vec::new();
        }
        let error = error.clone();
        vec![WatchReport::Outage { error, retry_in }]
    }
}
