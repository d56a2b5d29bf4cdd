//! Applies what was read from the store to the state.

use super::Follower;
use super::start::Snapshot;
use crate::dialect::Dialect;
use crate::poison;
use crate::relay::RelayedChanges;
use crate::state::State;
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

    /// Replaces the state with the contents of the store.
    pub(super) fn replace(&mut self, records: Vec<Record>, index: StoreIndex) {
        log_event!(EventCode::StoreRead, index:% = index, records = records.len());
        let parsed = self.parse(&records);
        self.replace_quarantine(&parsed, index);
        let mut state = self.shared.state.lock();
        self.record_era(&mut state, index);
        state.store_answered();
        state.log_mut().replace(&records, index);
        parsed.record_configuration(&mut state);
        state.replace(parsed.facts);
        self.index = Some(index);
        self.last_index = Some(index);
    }

    /// Records a restore of the store from a backup since the last read.
    fn record_era(&self, state: &mut State, index: StoreIndex) {
        if self.is_restored(index) {
            state.store_restored(index);
        }
    }

    fn is_restored(&self, index: StoreIndex) -> bool {
        let known = self.last_index;
        known.is_some_and(|known| known.era() < index.era())
    }

    /// Replaces the quarantined requests. Runs first, since the instance accepts requests
    /// as soon as it knows the configuration.
    fn replace_quarantine(&self, parsed: &ParsedRecords, index: StoreIndex) {
        let now = self.shared.clock.now();
        let is_restored = self.is_restored(index);
        let known = &self.shared.poison;
        let new = known.replace(&parsed.facts, is_restored, now);
        poison::resend_reports(&self.shared, &new);
    }

    /// Merges the quarantined requests of a peer, which the store may lack.
    pub(super) fn merge_peer_quarantine(&self, changes: &RelayedChanges) {
        let now = self.shared.clock.now();
        for &(fingerprint, entry) in &changes.quarantine {
            let poison = &self.shared.poison;
            poison.merge_from_peer(fingerprint, entry, &changes.peer, now);
        }
    }

    /// Applies a stale snapshot together with the changes since.
    pub(super) fn start_from_snapshot(
        &mut self,
        snapshot: &Snapshot,
        changes: &[Record],
        index: StoreIndex,
    ) {
        let mut log = RecordLog::default();
        log.replace(&snapshot.records, snapshot.index);
        log.append(changes, index);
        let records = log.all();
        log_event!(EventCode::StoreRead, index:% = index, records = records.len());
        let parsed = self.parse(&records);
        self.replace_quarantine(&parsed, index);
        let mut state = self.shared.state.lock();
        state.store_answered();
        // Instances that read the same stale pages get only the changes.
        *state.log_mut() = log;
        parsed.record_configuration(&mut state);
        state.replace(parsed.facts);
        self.index = Some(index);
        self.last_index = Some(index);
    }

    /// Starts from the last known state of a peer while the store is unavailable.
    pub(super) fn adopt_peer_state(&mut self, changes: RelayedChanges) {
        log_event!(EventCode::StoreAdopted, index:% = changes.index, records = changes.records.len());
        let parsed = self.parse(&changes.records);
        self.replace_quarantine(&parsed, changes.index);
        let mut state = self.shared.state.lock();
        state.log_mut().replace(&changes.records, changes.index);
        parsed.record_configuration(&mut state);
        state.replace(parsed.facts);
        state.store_failed();
        self.index = Some(changes.index);
        self.last_index = Some(changes.index);
        drop(state);
        self.shared.log_changed.notify(usize::MAX);
    }

    /// Applies changes.
    pub(super) fn apply(&mut self, records: &[Record], index: StoreIndex) {
        let parsed = self.parse(records);
        let now = self.shared.clock.now();
        let new = self.shared.poison.apply(&parsed.facts, now);
        poison::resend_reports(&self.shared, &new);
        let mut state = self.shared.state.lock();
        self.record_era(&mut state, index);
        state.store_answered();
        state.log_mut().append(records, index);
        parsed.record_configuration(&mut state);
        state.apply(parsed.facts);
        self.index = Some(index);
        self.last_index = Some(index);
    }

    /// Applies a configuration that another instance uses and the store has lost.
    pub(super) fn apply_newer_configuration(&mut self, record: Record) {
        let Some(Fact::Configuration(document)) = self.store.fact(&record) else {
            return;
        };
        let mut state = self.shared.state.lock();
        if document.version > state.version() {
            let version = document.version;
            state.apply(vec![Fact::Configuration(document)]);
            state.record_configuration(version, record, false);
        }
        drop(state);
        self.shared.log_changed.notify(usize::MAX);
    }

    /// Applies the newer configuration that another instance has offered, if any.
    pub(super) fn apply_offered_configuration(&mut self) {
        let offered = self.shared.offered_configuration.lock().take();
        if let Some(record) = offered {
            self.apply_newer_configuration(record);
        }
    }

    pub(super) fn facts(&self, records: &[Record]) -> Vec<Fact> {
        self.parse(records).facts
    }

    fn parse(&self, records: &[Record]) -> ParsedRecords {
        let mut parsed = ParsedRecords::default();
        for record in records {
            let Some(fact) = self.store.fact(record) else {
                continue;
            };
            if let Fact::Configuration(document) = &fact {
                parsed.configuration = Some((document.version, record.clone()));
            }
            parsed.facts.push(fact);
        }
        parsed
    }
}

/// Facts parsed from records.
#[derive(Debug, Default)]
struct ParsedRecords {
    facts: Vec<Fact>,
    /// The version and the record of the configuration, if the records contain one.
    configuration: Option<(u64, Record)>,
}

impl ParsedRecords {
    /// Records the configuration that the store holds.
    fn record_configuration(&self, state: &mut State) {
        if let Some((version, record)) = &self.configuration {
            state.record_configuration(*version, record.clone(), true);
        }
    }
}
