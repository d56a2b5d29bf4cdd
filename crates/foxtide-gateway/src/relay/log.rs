//! What an instance has read of the store, kept for peers.

use crate::store::{
    Changes,
    Record, //
};
use foxtide_core::store::StoreIndex;
use std::collections::BTreeMap;

/// The most removed keys that are remembered; an upstream that leaves is one.
const REMOVED_MAX: usize = 4_096;

/// The newest record of each key, with keys that were removed of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordLog {
    records: BTreeMap<String, Record>,
    removed: usize,
    /// All changes after this index are in the log.
    complete_after: StoreIndex,
    index: StoreIndex,
}

impl RecordLog {
    /// Begins anew with all that the store held at `index`.
    pub(crate) fn replace(&mut self, records: &[Record], index: StoreIndex) {
        self.records = records
            .iter()
            .map(|record| (record.key.clone(), record.clone()))
            .collect();
        self.removed = 0;
        self.complete_after = index;
        self.index = index;
    }

    /// Adds changes in their order.
    pub(crate) fn append(&mut self, records: &[Record], index: StoreIndex) {
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
            self.complete_after = self.index;
        }
    }

    /// Returns what has changed after `index`, or that it cannot be told.
    pub(crate) fn changes_after(&self, index: StoreIndex) -> Changes {
        if index < self.complete_after {
            return Changes::Forgotten;
        }
        // One that knows more than this log is told nothing.
        if index >= self.index {
            return Changes::Followed {
                records: Vec::new(),
                index,
            };
        }
        let newer = self.records.values().filter(|record| record.index > index);
        let mut records: Vec<Record> = newer.cloned().collect();
        records.sort_by_key(|record| record.index);
        Changes::Followed {
            records,
            index: self.index,
        }
    }

    /// Returns all that the store holds, and the index at which it held it.
    pub(crate) fn all(&self) -> (Vec<Record>, StoreIndex) {
        let present = self
            .records
            .values()
            .filter(|record| record.value.is_some());
        (present.cloned().collect(), self.index)
    }
}
