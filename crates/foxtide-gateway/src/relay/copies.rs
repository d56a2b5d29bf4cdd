//! Packed copies of the store's contents for instances that start.
//!
//! Many instances start at the same time and get the same bytes, so a copy is packed once and
//! shared. It may be a little old: its receiver asks for the changes since at once.

use super::messages::{
    ChangesResponse,
    RecordMessage, //
};
use super::packing::pack;
use bytes::Bytes;
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

/// The age up to which a copy is shared although the contents have changed.
const COPY_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The maximum size of the records in one part before compression. A client waits for one part
/// at a time, so its timeout does not limit the size of the whole.
const PART_MAX_BYTES: usize = 192 * 1_024;

/// The number of copies sent at the same time for each megabit a second of the link, with its
/// bounds: as many as it takes to fill the link if the receivers' links are ten times slower.
/// Receivers of few copies at a time have theirs sooner, and then send copies themselves.
const COPIES_PER_MBPS: f64 = 0.06;
const COPIES_MIN: usize = 2;
const COPIES_MAX: usize = 64;

/// A packed copy of the store's contents.
#[derive(Debug)]
pub(super) struct PackedCopy {
    /// The index at which it is complete.
    pub(super) index: StoreIndex,
    /// The encoded messages with the records.
    pub(super) parts: Vec<Bytes>,
    made_at: MonotonicTime,
}

/// The latest copy, and the number of copies that are being sent.
#[derive(Debug)]
pub(crate) struct Copies {
    latest: Mutex<Option<Arc<PackedCopy>>>,
    sending: Arc<AtomicUsize>,
    sending_max: usize,
}

/// A copy that is being sent, until this is dropped.
#[derive(Debug)]
pub(super) struct SendingCopy(Arc<AtomicUsize>);

impl Copies {
    /// Returns the copies of an instance with a link of `link_mbps` megabits a second; 0 if
    /// unknown.
    pub(crate) fn new(link_mbps: u32) -> Self {
        let sending_max = (f64::from(link_mbps) * COPIES_PER_MBPS) as usize;
        Self {
            latest: Mutex::default(),
            sending: Arc::default(),
            sending_max: sending_max.clamp(COPIES_MIN, COPIES_MAX),
        }
    }

    /// Returns a copy of the contents of `log`, not older than the index `after` up to which its
    /// receiver knows the store.
    pub(super) fn copy(
        &self,
        log: &RecordLog,
        after: StoreIndex,
        now: MonotonicTime,
    ) -> Arc<PackedCopy> {
        let mut latest = self.latest.lock();
        let is_recent = |copy: &Arc<PackedCopy>| {
            let is_of_era = copy.index.era() == log.index().era();
            is_of_era && after <= copy.index && now - copy.made_at < COPY_AGE_MAX
        };
        let is_usable = |copy: &&Arc<PackedCopy>| copy.index == log.index() || is_recent(copy);
        if let Some(copy) = latest.as_ref().filter(is_usable) {
            return Arc::clone(copy);
        }
        let copy = Arc::new(PackedCopy {
            index: log.index(),
            parts: encode_parts(log.all()),
            made_at: now,
        });
        *latest = Some(Arc::clone(&copy));
        copy
    }

    /// Begins to send a copy; `None` if as many as the link carries are being sent.
    pub(super) fn begin(&self) -> Option<SendingCopy> {
        let sending = SendingCopy(Arc::clone(&self.sending));
        let before = self.sending.fetch_add(1, Ordering::AcqRel);
        (before < self.sending_max).then_some(sending)
    }

    /// Frees the memory of a copy that is too old to be shared.
    pub(crate) fn prune(&self, now: MonotonicTime) {
        let mut latest = self.latest.lock();
        if latest
            .as_ref()
            .is_some_and(|copy| now - copy.made_at >= COPY_AGE_MAX)
        {
            *latest = None;
        }
    }
}

impl Drop for SendingCopy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Encodes records as messages of bounded size, which another message has to follow.
pub(super) fn encode_parts(records: Vec<Record>) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut part: Vec<RecordMessage> = Vec::new();
    let mut size_bytes = 0;
    for record in records {
        let record_bytes = record.size_bytes();
        if size_bytes + record_bytes > PART_MAX_BYTES && !part.is_empty() {
            parts.push(encode_part(std::mem::take(&mut part)));
            size_bytes = 0;
        }
        size_bytes += record_bytes;
        part.push(record.into());
    }
    if !part.is_empty() {
        parts.push(encode_part(part));
    }
    parts
}

/// Tells whether records fit into one part.
pub(super) fn fit_one_part(records: &[Record]) -> bool {
    records.iter().map(Record::size_bytes).sum::<usize>() <= PART_MAX_BYTES
}

fn encode_part(records: Vec<RecordMessage>) -> Bytes {
    let mut part = ChangesResponse {
        has_more: true,
        ..ChangesResponse::default()
    };
    match pack(records) {
        Ok(packed) => part.packed = Some(packed),
        Err(records) => part.records = records,
    }
    part.encode_to_vec().into()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(number: usize, index: u64) -> Record {
        Record {
            key: format!("upstream/i-{number:010x}"),
            value: Some(vec![b'x'; 200]),
            index: StoreIndex::new(index),
        }
    }

    fn log_of(count: usize, index: u64) -> RecordLog {
        let records: Vec<Record> = (0..count).map(|number| record(number, index)).collect();
        let mut log = RecordLog::default();
        log.replace(&records, StoreIndex::new(index));
        log
    }

    fn at(ms: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(ms)
    }

    /// Pattern: a fleet of twice the size has twice the contents; the size of one message, for
    /// which a client waits, must not grow with them.
    #[test]
    fn verify_the_size_of_a_part_does_not_grow_with_the_contents() {
        let largest = |count: usize| {
            let parts = encode_parts(log_of(count, 1).all());
            let decoded = parts
                .iter()
                .map(|part| ChangesResponse::decode(&part[..]).unwrap());
            let sizes = decoded.map(|part| part.packed.map_or(0, |packed| packed.size_bytes));
            (parts.len(), sizes.max().unwrap())
        };
        let (parts, size_bytes) = largest(10_000);
        let (parts_of_double, size_bytes_of_double) = largest(20_000);
        assert!(parts_of_double >= 2 * parts - 1);
        assert!(size_bytes_of_double <= size_bytes + 64);
    }

    /// Pattern: hundreds of instances that start together each have a copy packed for them.
    #[test]
    fn verify_instances_that_start_together_share_a_copy() {
        let copies = Copies::new(20);
        let copy = |log: &RecordLog, ms: u64| copies.copy(log, StoreIndex::default(), at(ms));
        let first = copy(&log_of(1_000, 1), 0);
        let changed = log_of(1_001, 2);
        assert!(Arc::ptr_eq(&first, &copy(&changed, 1_000)));
        let second = copy(&changed, 1_500);
        assert_eq!(second.index, StoreIndex::new(2));
        // Unchanged contents are never packed again.
        assert!(Arc::ptr_eq(&second, &copy(&changed, 60_000)));
        copies.prune(at(60_000));
        assert!(!Arc::ptr_eq(&second, &copy(&changed, 60_000)));
    }

    #[test]
    fn verify_nobody_gets_a_copy_older_than_its_own_state() {
        let copies = Copies::new(20);
        copies.copy(&log_of(10, 5), StoreIndex::default(), at(0));
        let copy = copies.copy(&log_of(10, 9), StoreIndex::new(6), at(10));
        assert_eq!(copy.index, StoreIndex::new(9));
    }

    #[test]
    fn verify_a_copy_of_an_older_era_is_not_shared() {
        let copies = Copies::new(20);
        copies.copy(&log_of(10, 5), StoreIndex::default(), at(0));
        let mut restored = RecordLog::default();
        restored.replace(&[], StoreIndex::new(3).in_era(1));
        let copy = copies.copy(&restored, StoreIndex::default(), at(10));
        assert_eq!(copy.index.era(), 1);
    }

    #[test]
    fn verify_the_copies_sent_at_a_time_are_limited_by_the_link() {
        let begun = |link_mbps: u32| {
            let copies = Copies::new(link_mbps);
            let sending: Vec<SendingCopy> = std::iter::from_fn(|| copies.begin()).collect();
            let count = sending.len();
            drop(sending);
            assert!(copies.begin().is_some());
            count
        };
        assert_eq!([0, 20, 200, 10_000].map(begun), [2, 2, 12, 64]);
    }
}
