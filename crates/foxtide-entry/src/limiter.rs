//! Limits a count that is shared between tasks.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

/// Shared count with an upper limit; clones share the count.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    count: Arc<AtomicUsize>,
    limit: usize,
}

/// Acquired part of the count, returned on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    count: Arc<AtomicUsize>,
    amount: usize,
}

impl Limiter {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            count: Arc::default(),
            limit,
        }
    }

    /// Acquires `amount` if the limit allows it.
    pub(crate) fn try_acquire(&self, amount: usize) -> Option<Permit> {
        let permit = Permit {
            count: Arc::clone(&self.count),
            amount,
        };
        let before = self.count.fetch_add(amount, Ordering::AcqRel);
        (before.saturating_add(amount) <= self.limit).then_some(permit)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.count.fetch_sub(self.amount, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_permits_are_limited_and_returned_on_drop() {
        let limiter = Limiter::new(3);
        let two = limiter.try_acquire(2).unwrap();
        assert!(limiter.try_acquire(2).is_none());
        let one = limiter.try_acquire(1);
        assert!(one.is_some());
        drop(two);
        assert!(limiter.try_acquire(2).is_some());
    }
}
