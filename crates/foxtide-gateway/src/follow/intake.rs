//! What was read of the store, taken into the state.

use super::Follower;
use super::start::Snapshot;
use crate::dialect::Dialect;
use crate::relay::Relayed;
use crate::store::{
    Fact,
    FleetStore, //
};
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::store::StoreIndex;
use foxtide_events::{
    EventCode,
    log_event, //
};

impl<D: Dialect, S: FleetStore> Follower<D, S> {
    pub(super) fn set_followed(&self, is_followed: bool) {
        self.shared.state.lock().set_store_followed(is_followed);
        self.shared.log_changed.notify(usize::MAX);
    }

    /// Takes in all that the store holds.
    pub(super) fn replace(&mut self, records: Vec<Record>, index: StoreIndex) {
        log_event!(EventCode::StoreRead, index:% = index, records = records.len());
        let facts = self.facts(&records);
        let mut state = self.shared.state.lock();
        state.store_answered();
        state.log_mut().replace(&records, index);
        state.replace(facts);
        self.index = Some(index);
    }

    /// Takes in a reading that was old, together with what has changed since.
    pub(super) fn begin(&mut self, old: &Snapshot, changes: &[Record], index: StoreIndex) {
        let mut log = RecordLog::default();
        log.replace(&old.records, old.index);
        log.append(changes, index);
        let records = log.all();
        log_event!(EventCode::StoreRead, index:% = index, records = records.len());
        let facts = self.facts(&records);
        let mut state = self.shared.state.lock();
        state.store_answered();
        // Others that read the same old pages are told the changes alone.
        *state.log_mut() = log;
        state.replace(facts);
        self.index = Some(index);
    }

    /// Starts from what a peer last knew of a store that is away: it serves callers
    /// as the peer does, and follows the store from there once it is back.
    pub(super) fn adopt(&mut self, relayed: Relayed) {
        log_event!(EventCode::StoreAdopted, index:% = relayed.index, records = relayed.records.len());
        let facts = self.facts(&relayed.records);
        let mut state = self.shared.state.lock();
        state.log_mut().replace(&relayed.records, relayed.index);
        state.replace(facts);
        state.store_failed();
        self.index = Some(relayed.index);
        drop(state);
        self.shared.log_changed.notify(usize::MAX);
    }

    /// Takes in what has changed.
    pub(super) fn apply(&mut self, records: &[Record], index: StoreIndex) {
        let facts = self.facts(records);
        let mut state = self.shared.state.lock();
        state.store_answered();
        state.log_mut().append(records, index);
        state.apply(facts);
        self.index = Some(index);
    }

    pub(super) fn facts(&self, records: &[Record]) -> Vec<Fact> {
        records
            .iter()
            .filter_map(|record| self.store.fact(record))
            .collect()
    }
}
