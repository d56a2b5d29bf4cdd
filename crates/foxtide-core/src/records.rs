//! What was read of the store, kept to be told to others.

use crate::store::StoreIndex;
use std::collections::{
    BTreeMap,
    HashSet, //
};

/// The most removed keys that are remembered; an upstream that leaves is one.
const REMOVED_MAX: usize = 4_096;

/// The most gaps that are remembered: all is read again when the store forgets its history
/// or comes back from a copy, a few times a day at most.
const GAPS_MAX: usize = 8;

/// The most bytes of records that one instance tells to many. The slowest machines
/// have links of 10 Mbit/s, on which this takes 0.1 s; a watcher tells up to 16.
/// A configuration of 1,700 routes is larger, and is read from the store instead.
const RELAYED_BYTES_MAX: usize = 128 * 1_024;

/// Tells whether records are small enough to be told to many instances.
pub fn fit_relay_limit(records: &[Record]) -> bool {
    let size = |record: &Record| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
    records.iter().map(size).sum::<usize>() <= RELAYED_BYTES_MAX
}

/// A key of the store and what it holds, as it is read and passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; nothing where the key was removed.
    pub value: Option<Vec<u8>>,
    /// The index of the change.
    pub index: StoreIndex,
}

/// The newest record of each key, with keys that were removed of late.
#[derive(Clone, Debug, Default)]
pub struct RecordLog {
    records: BTreeMap<String, Record>,
    removed: usize,
    /// All changes after this index are in the log; nothing before the first
    /// reading.
    complete_after: Option<StoreIndex>,
    index: StoreIndex,
    /// Between which indices all was read again, the latest last. What was written and
    /// removed between them was never seen here, nor what the store has lost where it came
    /// back from an older copy: one who is between them cannot be told the difference.
    gaps: Vec<(StoreIndex, StoreIndex)>,
}

impl RecordLog {
    /// Takes in all that the store held at `index`.
    ///
    /// What was known before stays told: a key that is missing now counts as
    /// removed at `index`, so that one who knows an earlier index is told the
    /// difference and not everything. In a later era of the store the same holds for
    /// values that have not changed.
    pub fn replace(&mut self, records: &[Record], index: StoreIndex) {
        if self.complete_after.is_some() && self.index < index {
            self.note_gap(index);
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

    fn note_gap(&mut self, index: StoreIndex) {
        self.gaps.push((self.index, index));
        if self.gaps.len() > GAPS_MAX {
            let (_, forgotten_to) = self.gaps.remove(0);
            self.complete_after = self.complete_after.max(Some(forgotten_to));
        }
    }

    fn is_in_gap(&self, index: StoreIndex) -> bool {
        let holds = |&(from, to): &(StoreIndex, StoreIndex)| from < index && index < to;
        self.gaps.iter().any(holds)
    }

    /// Adds changes in their order.
    pub fn append(&mut self, records: &[Record], index: StoreIndex) {
        for record in records {
            let before = self.records.insert(record.key.clone(), record.clone());
            let was_removed = before.is_some_and(|before| before.value.is_none());
            self.removed += usize::from(record.value.is_none());
            self.removed -= usize::from(was_removed);
        }
        self.index = self.index.max(index);
        if self.removed > REMOVED_MAX {
            self.records.retain(|_, record| record.value.is_some());
            self.removed = 0;
            self.complete_after = Some(self.index);
        }
    }

    /// Returns the index up to which the log is complete.
    pub fn index(&self) -> StoreIndex {
        self.index
    }

    /// Returns what has changed after `index`, in the order of the changes;
    /// nothing where that cannot be told. One who knows more than this log is
    /// told of no change.
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

    /// Returns all that the store holds.
    pub fn all(&self) -> Vec<Record> {
        let present = self
            .records
            .values()
            .filter(|record| record.value.is_some());
        present.cloned().collect()
    }
}
