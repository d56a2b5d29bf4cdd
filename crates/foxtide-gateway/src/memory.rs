//! Limits the memory that request bodies take.

use foxtide_core::units::ByteSize;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// The memory available for request bodies.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    used_bytes: Arc<AtomicU64>,
    max: ByteSize,
}

/// A reservation of memory, released when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    used_bytes: Arc<AtomicU64>,
    size_bytes: u64,
}

impl BodyMemory {
    /// Returns an unused limit.
    pub(crate) fn new(max: ByteSize) -> Self {
        Self {
            used_bytes: Arc::default(),
            max,
        }
    }

    /// Reserves memory for a body; `None` if not enough is left.
    pub(crate) fn try_reserve(&self, size_bytes: u64) -> Option<BodyReservation> {
        let reserved = BodyReservation {
            used_bytes: Arc::clone(&self.used_bytes),
            size_bytes,
        };
        let before = self.used_bytes.fetch_add(size_bytes, Ordering::AcqRel);
        (before.saturating_add(size_bytes) <= self.max.get()).then_some(reserved)
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.size_bytes, Ordering::AcqRel);
    }
}
