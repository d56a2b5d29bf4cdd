//! Counts what is under way and keeps it below a limit.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

/// A count with a limit. Clones count together.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    count: Arc<AtomicUsize>,
    limit: usize,
}

/// A part of the count, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    count: Arc<AtomicUsize>,
    amount: usize,
}

impl Limiter {
    /// Returns an empty count.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            count: Arc::default(),
            limit,
        }
    }

    /// Takes `amount` of what is free; nothing where that is less.
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
    fn verify_the_limit_is_kept_and_given_back() {
        let limiter = Limiter::new(3);
        let two = limiter.try_acquire(2).unwrap();
        assert!(limiter.try_acquire(2).is_none());
        let one = limiter.try_acquire(1);
        assert!(one.is_some());
        drop(two);
        assert!(limiter.try_acquire(2).is_some());
    }
}
