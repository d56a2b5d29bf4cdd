//! Watches the store for accepted changes.
//!
//! Only some instances of each availability zone are watchers, which propagate changes
//! to the others. Other instances make no calls.
//!
//! A watcher watches each document and the names of all documents, so that a change
//! transfers one document. With more than [`WatchOptions::individual_watches_max`]
//! organisations it watches all documents in one call.

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

/// Options of the watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchOptions {
    /// Maximum time for which the store blocks a call.
    pub wait: Duration,
    /// Minimum time between an answer and the next call; bounds the rate of calls.
    pub call_interval_min: Duration,
    /// Interval of checking whether this instance is a watcher.
    pub role_check_interval: Duration,
    /// Maximum number of organisations whose documents are watched individually.
    pub individual_watches_max: usize,
    /// Back-off after failures.
    pub backoff: BackoffOptions,
    /// Seed of the back-off's jitter; must differ between instances.
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

/// A report of the watch.
#[derive(Clone, Debug)]
pub enum WatchReport {
    /// A document with a higher revision than all before.
    Configuration(Arc<Organisation>),
    /// An invalid value; the previous document stays in force.
    Invalid {
        /// Key of the value.
        key: String,
        /// The fault of the value.
        cause: String,
    },
    /// A call failed after others succeeded.
    Outage {
        /// Error of the call.
        error: StoreError,
        /// Time until the next call.
        retry_in: Duration,
    },
    /// A call succeeded after failures.
    Recovered,
}

/// Watch on all organisations' documents.
///
/// `is_watcher` returns whether this instance currently is a watcher.
#[derive(Debug)]
pub struct ConfigurationWatch<S, R> {
    store: Arc<S>,
    is_watcher: R,
    options: WatchOptions,
    delivered: DeliveredVersions,
    outage: bool,
}

impl<S: Store, R: Fn() -> bool + Send> ConfigurationWatch<S, R> {
    /// Returns a watch that has reported nothing.
    pub fn new(store: Arc<S>, is_watcher: R, options: WatchOptions) -> Self {
        Self {
            store,
            is_watcher,
            options,
            delivered: DeliveredVersions::default(),
            outage: false,
        }
    }

    /// Reads all documents once, for the start of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the store fails.
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

    /// Watches for as long as this instance is a watcher.
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

    /// Reports the result of a call and schedules the next.
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

    /// Schedules calls after a successful one.
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

    /// Switches to individual watches if there are few documents.
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

    /// Watches new documents, or all in one call if there are many.
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

    /// Returns reports of the new entries of a listing.
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
