//! Event queue of the simulation.

use foxtide_core::time::MonotonicTime;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Events in order of time; events at the same time keep the order in which they were
/// added.
#[derive(Debug)]
pub(super) struct Schedule<E> {
    entries: BinaryHeap<Entry<E>>,
    sequence: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: MonotonicTime,
    sequence: u64,
    event: E,
}

impl<E> Schedule<E> {
    pub(super) fn new() -> Self {
        Self {
            entries: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub(super) fn add(&mut self, at: MonotonicTime, event: E) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.entries.push(Entry {
            at,
            sequence,
            event,
        });
    }

    /// Removes and returns the first event that is due at `until` or before.
    pub(super) fn pop_due(&mut self, until: MonotonicTime) -> Option<(MonotonicTime, E)> {
        let due = self.entries.peek().is_some_and(|entry| entry.at <= until);
        let entry = if due { self.entries.pop() } else { None };
        entry.map(|entry| (entry.at, entry.event))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    /// Reversed, since `BinaryHeap` is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
