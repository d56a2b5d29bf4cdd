//! How an instance learns of accepted changes from the store.
//!
//! Only some instances of each availability zone hold watches; they pass on
//! what they learn. An instance that holds none makes no calls here at all.
//!
//! A watching instance waits on each organisation's document by itself and on
//! the names of all, so that a change brings it one document and not all of
//! them. Where there are more organisations than [`WatchOptions::individual_watches_max`]
//! it waits on all at once instead, which costs fewer calls and more bytes.

mod calls;
mod delivered;

use crate::backoff::BackoffOptions;
use crate::change::ORGANISATION_PREFIX;
use calls::{
    Finished,
    PendingCalls,
    Response,
    Target, //
};
use delivered::DeliveredVersions;
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
    pub call_interval_min: Duration,
    /// How often an instance that holds no watch asks whether it should.
    pub role_check_interval: Duration,
    /// The most organisations whose documents are waited on one by one.
    pub individual_watches_max: usize,
    /// The waits after failures.
    pub backoff: BackoffOptions,
    /// The seed of the waits' jitter; must differ between instances.
    pub seed: u64,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self {
            wait: Duration::from_secs(55),
            call_interval_min: Duration::from_millis(200),
            role_check_interval: Duration::from_secs(1),
            individual_watches_max: 64,
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
    delivered: DeliveredVersions,
    outage: bool,
}

impl<S: Store, R: Fn() -> bool + Send> ConfigurationWatch<S, R> {
    /// Returns a watch that has seen nothing.
    pub fn new(store: Arc<S>, is_watcher: R, options: WatchOptions) -> Self {
        Self {
            store,
            is_watcher,
            options,
            delivered: DeliveredVersions::default(),
            outage: false,
        }
    }

    /// Reads all documents once, for an instance that starts.
    ///
    /// # Errors
    ///
    /// Fails where the store does.
    pub async fn read_all(&mut self) -> StoreResult<Vec<WatchReport>> {
        let listing = self.store.list(ORGANISATION_PREFIX).await?;
        Ok(self.new_reports(&listing))
    }

    /// Watches until the channel is closed.
    pub async fn run(mut self, reports: Sender<WatchReport>) {
        while !reports.is_closed() {
            if (self.is_watcher)() && self.watch(&reports).await.is_err() {
                return;
            }
            Timer::after(self.options.role_check_interval).await;
        }
    }

    /// Holds the watches for as long as the role lasts.
    async fn watch(&mut self, reports: &Sender<WatchReport>) -> Result<(), SendError<WatchReport>> {
        let mut calls = PendingCalls::new(Arc::clone(&self.store), self.options);
        calls.add(Target::AllDocuments, StoreIndex::ABSENT);
        while (self.is_watcher)() && !reports.is_closed() {
            let role_check = async {
                Timer::after(self.options.role_check_interval).await;
                None
            };
            let Some(finished) = calls.next().or(role_check).await else {
                continue;
            };
            for report in self.handle(&mut calls, finished) {
                reports.send(report).await?;
            }
        }
        Ok(())
    }

    /// Takes in what a call found and makes the next one of its target.
    fn handle(&mut self, calls: &mut PendingCalls<S>, finished: Finished) -> Vec<WatchReport> {
        match &finished.result {
            Ok(response) => {
                let mut reports = self.report_recovery();
                if let Response::Documents(listing) = response {
                    reports.extend(self.new_reports(listing));
                }
                self.schedule_next(calls, &finished, response);
                reports
            }
            Err(error) => {
                let retry_in = calls.restart(&finished);
                self.report_failure(error, retry_in)
            }
        }
    }

    /// Waits on what a successful call showed to be there.
    fn schedule_next(&self, calls: &mut PendingCalls<S>, finished: &Finished, response: &Response) {
        match response {
            Response::Documents(listing) if finished.target == Target::AllDocuments => {
                self.schedule_after_documents(calls, finished, listing);
            }
            Response::Documents(listing) if listing.entries.is_empty() => {
                calls.remove(&finished.target);
            }
            Response::Documents(_) => drop(calls.restart(finished)),
            Response::Names(names) => self.schedule_after_names(calls, finished, names),
        }
    }

    /// Goes on to single documents, if there are few enough.
    fn schedule_after_documents(
        &self,
        calls: &mut PendingCalls<S>,
        finished: &Finished,
        listing: &StoreListing,
    ) {
        if listing.entries.len() > self.options.individual_watches_max {
            calls.restart(finished);
            return;
        }
        calls.clear();
        calls.add(Target::Names, listing.index.max(StoreIndex::new(1)));
        for entry in &listing.entries {
            calls.add(Target::Document(entry.key.clone()), entry.index);
        }
    }

    /// Waits on documents that are new; on all at once where there are many.
    fn schedule_after_names(
        &self,
        calls: &mut PendingCalls<S>,
        finished: &Finished,
        names: &StoreNames,
    ) {
        if names.keys.len() > self.options.individual_watches_max {
            calls.clear();
            calls.add(Target::AllDocuments, StoreIndex::ABSENT);
            return;
        }
        calls.restart(finished);
        for key in &names.keys {
            let target = Target::Document(key.clone());
            if !calls.contains(&target) {
                calls.add(target, StoreIndex::ABSENT);
            }
        }
    }

    /// Takes a listing in. Returns what is new in it.
    fn new_reports(&mut self, listing: &StoreListing) -> Vec<WatchReport> {
        let entries = listing.entries.iter();
        entries
            .filter_map(|entry| self.delivered.update(entry))
            .collect()
    }

    fn report_recovery(&mut self) -> Vec<WatchReport> {
        let had_outage = std::mem::take(&mut self.outage);
        had_outage
            .then_some(WatchReport::Recovered)
            .into_iter()
            .collect()
    }

    fn report_failure(&mut self, error: &StoreError, retry_in: Duration) -> Vec<WatchReport> {
        let held_back = matches!(error, StoreError::OverBudget { .. });
        if held_back || std::mem::replace(&mut self.outage, true) {
            return Vec::new();
        }
        let error = error.clone();
        vec![WatchReport::Outage { error, retry_in }]
    }
}
