//! What is known of the store itself, and of what it has lost.

use super::State;
use crate::journal::beliefs;
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::store::StoreIndex;
use std::time::Duration;

/// How long after its return from an older copy an evacuation that is missing in the store
/// stays in force: operators see the return as instances do and write theirs again, by hand
/// at worst. A zone that is used too early breaks what was announced; one that is used too
/// late leaves a sixth of the upstreams idle for as long.
const EVACUATION_GRACE: Duration = Duration::from_secs(10);

impl State {
    /// Returns what was read of the store.
    pub(crate) fn log(&self) -> &RecordLog {
        &self.log
    }

    /// Returns what was read of the store, to be added to.
    pub(crate) fn log_mut(&mut self) -> &mut RecordLog {
        &mut self.log
    }

    /// Tells whether the store itself answers this instance.
    pub(crate) fn is_store_followed(&self) -> bool {
        self.is_store_followed
    }

    /// Notes whether the store itself answers this instance.
    pub(crate) fn set_store_followed(&mut self, is_followed: bool) {
        self.is_store_followed = is_followed;
    }

    /// Notes that neither the store nor a peer tells what the store says.
    pub(crate) fn store_failed(&mut self) {
        self.registry.store_failed();
    }

    /// Notes that the store has come back from an older copy, as `index` tells.
    pub(crate) fn store_restored(&mut self, index: StoreIndex) {
        let now = self.clock.now();
        beliefs::store_restored(index);
        self.registry.store_restored(now);
        self.evacuations_kept_until = Some(now + EVACUATION_GRACE);
        self.restorations += 1;
    }

    /// Returns how often the store has come back from an older copy.
    pub(crate) fn restorations(&self) -> u64 {
        self.restorations
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// Returns the configuration in force where the store holds an older one: others learn
    /// it from instances alone.
    pub(crate) fn unstored_configuration(&self) -> Option<&Record> {
        let is_lost = self.stored_version < self.version();
        self.configuration.as_ref().filter(|_| is_lost)
    }

    /// Notes the record of a version that the store holds, or another instance has in force.
    pub(crate) fn note_configuration(&mut self, version: u64, record: Record, is_stored: bool) {
        if is_stored {
            self.stored_version = version;
        }
        if self.configuration.is_none() || version >= self.version() {
            self.configuration = Some(record);
        }
    }

    /// Notes that the store, or a peer that it answers, has told what it says.
    pub(crate) fn store_answered(&mut self) {
        let now = self.clock.now();
        self.store_answered_at = now;
        self.registry.store_answered(now);
    }
}
