//! Limits the memory that request bodies take.

use foxtide_core::units::ByteSize;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// The divisor of the memory that bodies above [`SMALL_BODY_MAX_BYTES`] leave to smaller ones.
const SMALL_PART_DIVISOR: u64 = 8;
const SMALL_BODY_MAX_BYTES: u64 = 64 * 1_024;

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
    max: ByteSize,
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
        let mut reserved = BodyReservation {
            used_bytes: Arc::clone(&self.used_bytes),
            max: self.max,
            size_bytes: 0,
        };
        reserved.try_grow(size_bytes).then_some(reserved)
    }

    /// Returns the size of all reservations.
    pub(crate) fn used(&self) -> ByteSize {
        ByteSize::from_bytes(self.used_bytes.load(Ordering::Acquire))
    }
}

impl BodyReservation {
    /// Reserves more memory for the same body; returns whether enough was left.
    pub(crate) fn try_grow(&mut self, more_bytes: u64) -> bool {
        let size_bytes = self.size_bytes.saturating_add(more_bytes);
        let max_bytes = self.max.get();
        let limit_bytes = if size_bytes > SMALL_BODY_MAX_BYTES {
            max_bytes - max_bytes / SMALL_PART_DIVISOR
        } else {
            max_bytes
        };
        let before_bytes = self.used_bytes.fetch_add(more_bytes, Ordering::AcqRel);
        let has_room = before_bytes.saturating_add(more_bytes) <= limit_bytes;
        if has_room {
            self.size_bytes = size_bytes;
        } else {
            self.used_bytes.fetch_sub(more_bytes, Ordering::AcqRel);
        }
        has_room
    }

    /// Releases what the body does not need.
    pub(crate) fn shrink_to(&mut self, size_bytes: u64) {
        let released_bytes = self.size_bytes.saturating_sub(size_bytes);
        self.size_bytes -= released_bytes;
        self.used_bytes.fetch_sub(released_bytes, Ordering::AcqRel);
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used_bytes.fetch_sub(self.size_bytes, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fastrand::Rng;

    const MAX: ByteSize = ByteSize::from_kib(4 * 1_024);

    /// Guards against bodies that together exceed their memory, and memory that is not released.
    #[test]
    fn verify_no_play_of_bodies_exceeds_the_memory() {
        for seed in 0..1_000 {
            let mut random = Rng::with_seed(seed);
            let memory = BodyMemory::new(MAX);
            let mut bodies: Vec<BodyReservation> = Vec::new();
            for _ in 0..200 {
                let index = random.usize(..=bodies.len());
                let size_bytes = random.u64(..MAX.get() / 2);
                match (random.u8(..4), bodies.get_mut(index)) {
                    (0, Some(_)) => drop(bodies.swap_remove(index)),
                    (1, Some(body)) => body.shrink_to(size_bytes),
                    (_, Some(body)) => {
                        body.try_grow(size_bytes / 4);
                    }
                    (_, None) => bodies.extend(memory.try_reserve(size_bytes)),
                }
                assert!(memory.used() <= MAX, "seed {seed}");
                let held: u64 = bodies.iter().map(|body| body.size_bytes).sum();
                assert_eq!(memory.used().get(), held, "seed {seed}");
            }
            drop(bodies);
            assert_eq!(memory.used().get(), 0, "seed {seed}");
        }
    }

    /// Guards against small requests that are refused while uploads take all memory.
    #[test]
    fn verify_uploads_leave_a_part_to_small_bodies() {
        let memory = BodyMemory::new(MAX);
        let mut upload = memory.try_reserve(0).unwrap();
        while upload.try_grow(16 * 1_024) {}
        assert!(memory.try_reserve(SMALL_BODY_MAX_BYTES).is_some());
        assert!(memory.try_reserve(SMALL_BODY_MAX_BYTES + 1).is_none());
    }
}
