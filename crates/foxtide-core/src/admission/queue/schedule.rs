//! When the slots of an upstream are expected to be free.

use crate::placement::ObjectKey;
use crate::time::MonotonicTime;
use std::time::Duration;

/// The work that an upstream's slots are expected to do, in the order in which they begin it.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    /// When each slot is free.
    free_at: Vec<MonotonicTime>,
    /// The objects that the scheduled work has accessed by then.
    objects: Vec<ObjectKey>,
}

impl Schedule {
    /// Creates a schedule of idle slots.
    pub(super) fn new(slots: usize, now: MonotonicTime) -> Self {
        Self {
            free_at: vec![now; slots.max(1)],
            objects: Vec::new(),
        }
    }

    /// Returns when the next of the first `usable` slots is free.
    pub(super) fn next_free(&self, usable: usize) -> MonotonicTime {
        self.free_at[self.next_slot(usable)]
    }

    /// Gives the next free one of the first `usable` slots to work that takes `service`.
    pub(super) fn place(&mut self, object: Option<ObjectKey>, service: Duration, usable: usize) {
        let slot = self.next_slot(usable);
        self.free_at[slot] = self.free_at[slot] + service;
        self.objects.extend(object);
    }

    /// Returns whether scheduled work accesses the object.
    pub(super) fn accesses(&self, object: Option<ObjectKey>) -> bool {
        object.is_some_and(|object| self.objects.contains(&object))
    }

    fn next_slot(&self, usable: usize) -> usize {
        let slots = 0..usable.min(self.free_at.len());
        slots.min_by_key(|&slot| self.free_at[slot]).unwrap_or(0)
    }
}
