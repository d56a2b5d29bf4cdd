//! Tracks the availability, restores and configuration of the store.

use super::State;
use crate::journal::state_changes;
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::store::StoreIndex;
use std::time::Duration;

/// How long an evacuation that a restored store lacks stays in force, so that operators can write
/// it again. A zone that is used too early breaks what was announced; one that is used too late
/// leaves its upstreams idle for as long.
const EVACUATION_GRACE: Duration = Duration::from_secs(10);

impl State {
    /// Returns the records that were read from the store.
    pub(crate) fn log(&self) -> &RecordLog {
        &self.log
    }

    pub(crate) fn log_mut(&mut self) -> &mut RecordLog {
        &mut self.log
    }

    /// Tells whether the store itself answers this instance.
    pub(crate) fn is_store_followed(&self) -> bool {
        self.is_store_followed
    }

    /// Sets whether the store itself answers this instance.
    pub(crate) fn set_store_followed(&mut self, is_followed: bool) {
        self.is_store_followed = is_followed;
    }

    /// Records that neither the store nor a peer answers.
    pub(crate) fn store_failed(&mut self) {
        self.registry.store_failed();
    }

    /// Records a restore of the store from an older copy, as of `index`.
    pub(crate) fn store_restored(&mut self, index: StoreIndex) {
        let now = self.clock.now();
        state_changes::store_restored(index);
        self.registry.store_restored(now);
        self.evacuations_kept_until = Some(now + EVACUATION_GRACE);
        self.restorations += 1;
    }

    /// Returns how often the store was restored from an older copy.
    pub(crate) fn restorations(&self) -> u64 {
        self.restorations
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// Returns the configuration in force if the store holds an older one, so that instances
    /// pass it on to each other.
    pub(crate) fn unstored_configuration(&self) -> Option<&Record> {
        let is_lost = self.stored_version < self.version();
        self.configuration.as_ref().filter(|_| is_lost)
    }

    /// Records a configuration that the store holds, or that another instance has in force.
    pub(crate) fn record_configuration(&mut self, version: u64, record: Record, is_stored: bool) {
        if is_stored {
            self.stored_version = version;
        }
        if self.configuration.is_none() || version >= self.version() {
            self.configuration = Some(record);
        }
    }

    /// Records that the store, or a peer in its place, answered.
    pub(crate) fn store_answered(&mut self) {
        let now = self.clock.now();
        self.store_answered_at = now;
        self.registry.store_answered(now);
    }
}
