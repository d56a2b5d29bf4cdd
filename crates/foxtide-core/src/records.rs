//! A log of the store's records that serves their changes to peers.

use crate::store::StoreIndex;
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// The maximum number of tombstones of removed keys.
const TOMBSTONES_MAX: usize = 4_096;

/// The maximum number of gaps; a full read of the store adds one.
const GAPS_MAX: usize = 8;

/// The maximum total size of records that are relayed in one message, to instances that do not
/// read them in parts.
const RELAYED_BYTES_MAX: usize = 128 * 1_024;

/// Returns whether records are small enough to relay in one message; peers that do not read
/// parts read larger ones from the store.
pub fn fit_relay_limit(records: &[Record]) -> bool {
    records.iter().map(Record::size_bytes).sum::<usize>() <= RELAYED_BYTES_MAX
}

/// The state of one key of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The index of the last change.
    pub index: StoreIndex,
}

impl Record {
    /// Returns the size of the key and the value.
    pub fn size_bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// The latest record of each key, with tombstones of recently removed keys.
#[derive(Clone, Debug, Default)]
pub struct RecordLog {
    records: BTreeMap<String, Record>,
    tombstones: usize,
    /// The log holds all changes after this index; `None` before the first read.
    complete_after: Option<StoreIndex>,
    index: StoreIndex,
    /// The index ranges that full reads skipped, the latest last. Keys that were written
    /// and removed within a range, or lost in a restore of the store, are not in the log.
    gaps: Vec<(StoreIndex, StoreIndex)>,
}

impl RecordLog {
    /// Applies a full read of the store at `index`.
    ///
    /// Missing keys count as removed at `index`, and in a later era of the store
    /// unchanged values keep their index, so that peers get only the difference.
    pub fn replace(&mut self, records: &[Record], index: StoreIndex) {
        if self.complete_after.is_some() && self.index < index {
            self.record_gap(index);
        }
        let present: HashSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        let missing: Vec<Record> = self
            .records
            .values()
            .filter(|record| record.value.is_some() && !present.contains(record.key.as_str()))
            .map(|record| Record {
                key: record.key.clone(),
                value: None,
                index,
            })
            .collect();
        self.complete_after.get_or_insert(index);
        self.append(&missing, index);
        let changed = |record: &&Record| {
            let known = self.records.get(&record.key);
            known
                .is_none_or(|known| known.value != record.value || known.index.era() == index.era())
        };
        let changed: Vec<Record> = records.iter().filter(changed).cloned().collect();
        self.append(&changed, index);
    }

    fn record_gap(&mut self, index: StoreIndex) {
        self.gaps.push((self.index, index));
        if self.gaps.len() > GAPS_MAX {
            let (_, gap_end) = self.gaps.remove(0);
            self.complete_after = self.complete_after.max(Some(gap_end));
        }
    }

    fn is_in_gap(&self, index: StoreIndex) -> bool {
        let contains = |&(from, to): &(StoreIndex, StoreIndex)| from < index && index < to;
        self.gaps.iter().any(contains)
    }

    /// Appends changes, the oldest first.
    pub fn append(&mut self, records: &[Record], index: StoreIndex) {
        for record in records {
            let before = self.records.insert(record.key.clone(), record.clone());
            let was_removed = before.is_some_and(|before| before.value.is_none());
            self.tombstones += usize::from(record.value.is_none());
            self.tombstones -= usize::from(was_removed);
        }
        self.index = self.index.max(index);
        if self.tombstones > TOMBSTONES_MAX {
            self.records.retain(|_, record| record.value.is_some());
            self.tombstones = 0;
            self.complete_after = Some(self.index);
        }
    }

    /// Returns the index of the latest change.
    pub fn index(&self) -> StoreIndex {
        self.index
    }

    /// Returns the changes after `index`, the oldest first, or `None` if the log is
    /// incomplete for that index. The result is empty for an index ahead of the log.
    pub fn changes_after(&self, index: StoreIndex) -> Option<Vec<Record>> {
        let is_complete = self
            .complete_after
            .is_some_and(|complete| complete <= index);
        if !is_complete || self.is_in_gap(index) {
            return None;
        }
        let newer = self.records.values().filter(|record| record.index > index);
        let mut records: Vec<Record> = newer.cloned().collect();
        records.sort_by_key(|record| record.index);
        Some(records)
    }

    /// Returns the records of all present keys.
    pub fn all(&self) -> Vec<Record> {
        let present = self
            .records
            .values()
            .filter(|record| record.value.is_some());
        present.cloned().collect()
    }
}
