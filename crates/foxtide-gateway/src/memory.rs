//! Limits the memory that bodies take.

use event_listener::Event;
use foxtide_core::units::ByteSize;
use foxtide_http::BodyAllowance;
use futures_lite::future::or;
use smol::Timer;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

/// The divisor of the memory that bodies above [`SMALL_BODY_MAX_BYTES`] leave to smaller ones.
const SMALL_PART_DIVISOR: u64 = 8;
const SMALL_BODY_MAX_BYTES: u64 = 64 * 1_024;

/// How long a body waits for memory while it arrives.
const GROWTH_TIMEOUT: Duration = Duration::from_millis(500);

/// The memory available for bodies of one direction.
#[derive(Debug)]
pub(crate) struct BodyMemory(Arc<Account>);

#[derive(Debug)]
struct Account {
    used_bytes: AtomicU64,
    max: ByteSize,
    /// Whether a body has taken more than the limit. Without it, bodies that hold a part of the
    /// memory each would wait for each other.
    is_overdrawn: AtomicBool,
    /// Notified when memory is released.
    released: Event,
}

/// A reservation of memory, released when it is dropped.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    account: Arc<Account>,
    size_bytes: u64,
    /// Whether it is the one that may exceed the limit.
    overdraws: bool,
}

impl BodyMemory {
    /// Returns an unused limit.
    pub(crate) fn new(max: ByteSize) -> Self {
        Self(Arc::new(Account {
            used_bytes: AtomicU64::default(),
            max,
            is_overdrawn: AtomicBool::default(),
            released: Event::new(),
        }))
    }

    /// Returns a reservation of nothing.
    pub(crate) fn reservation(&self) -> BodyReservation {
        BodyReservation {
            account: Arc::clone(&self.0),
            size_bytes: 0,
            overdraws: false,
        }
    }

    /// Reserves memory for a body; `None` if not enough is left.
    pub(crate) fn try_reserve(&self, size_bytes: u64) -> Option<BodyReservation> {
        let mut reserved = self.reservation();
        reserved.try_grow(size_bytes).then_some(reserved)
    }

    /// Returns the size of all reservations.
    pub(crate) fn used(&self) -> ByteSize {
        ByteSize::from_bytes(self.0.used_bytes.load(Ordering::Acquire))
    }
}

impl Account {
    fn release(&self, size_bytes: u64) {
        if size_bytes > 0 {
            self.used_bytes.fetch_sub(size_bytes, Ordering::AcqRel);
            self.released.notify(usize::MAX);
        }
    }
}

impl BodyReservation {
    /// Reserves more memory for the same body; returns whether enough was left.
    pub(crate) fn try_grow(&mut self, more_bytes: u64) -> bool {
        let size_bytes = self.size_bytes.saturating_add(more_bytes);
        let max_bytes = self.account.max.get();
        let limit_bytes = if size_bytes > SMALL_BODY_MAX_BYTES {
            max_bytes - max_bytes / SMALL_PART_DIVISOR
        } else {
            max_bytes
        };
        let used_bytes = &self.account.used_bytes;
        let before_bytes = used_bytes.fetch_add(more_bytes, Ordering::AcqRel);
        let has_room = before_bytes.saturating_add(more_bytes) <= limit_bytes;
        if has_room {
            self.size_bytes = size_bytes;
        } else {
            used_bytes.fetch_sub(more_bytes, Ordering::AcqRel);
        }
        has_room
    }

    /// Reserves more memory beyond the limit, which one body at a time may do until it ends.
    fn try_overdraw(&mut self, more_bytes: u64) -> bool {
        let is_overdrawn = &self.account.is_overdrawn;
        if !self.overdraws && is_overdrawn.swap(true, Ordering::AcqRel) {
            return false;
        }
        self.overdraws = true;
        self.account
            .used_bytes
            .fetch_add(more_bytes, Ordering::AcqRel);
        self.size_bytes += more_bytes;
        true
    }

    /// Reserves more memory once enough is left.
    async fn grow_when_free(&mut self, more_bytes: u64) {
        loop {
            let account = Arc::clone(&self.account);
            let released = account.released.listen();
            if self.try_grow(more_bytes) || self.try_overdraw(more_bytes) {
                return;
            }
            released.await;
        }
    }

    /// Releases what the body does not need.
    pub(crate) fn shrink_to(&mut self, size_bytes: u64) {
        let released_bytes = self.size_bytes.saturating_sub(size_bytes);
        self.size_bytes -= released_bytes;
        self.account.release(released_bytes);
    }
}

impl BodyAllowance for BodyReservation {
    async fn grow(&mut self, more_bytes: usize) -> bool {
        let grown = async {
            self.grow_when_free(more_bytes as u64).await;
            true
        };
        let late = async {
            Timer::after(GROWTH_TIMEOUT).await;
            false
        };
        or(grown, late).await
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        if self.overdraws {
            self.account.is_overdrawn.store(false, Ordering::Release);
        }
        self.account.release(self.size_bytes);
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

    /// Guards against responses that wait for each other's memory, or for good.
    #[test]
    fn verify_one_of_the_bodies_that_wait_for_memory_goes_on() {
        let memory = BodyMemory::new(MAX);
        let most_bytes = MAX.get() - MAX.get() / SMALL_PART_DIVISOR;
        let mut one = memory.try_reserve(most_bytes / 2).unwrap();
        let mut two = memory.try_reserve(most_bytes / 2).unwrap();
        assert!(smol::block_on(one.grow(MAX.get() as usize)));
        assert!(!smol::block_on(two.grow(1_024)), "one at a time");
        let releasing = smol::spawn(async move { drop(one) });
        assert!(smol::block_on(two.grow(1_024)));
        smol::block_on(releasing);
        assert!(smol::block_on(two.grow(MAX.get() as usize)));
        drop(two);
        assert_eq!(memory.used().get(), 0);
    }
}
