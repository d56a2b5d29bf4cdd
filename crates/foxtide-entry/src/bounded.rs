//! Counts what is under way and keeps it below a limit.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

/// A count with a limit. Clones count together.
#[derive(Clone, Debug)]
pub(crate) struct Bounded {
    count: Arc<AtomicUsize>,
    limit: usize,
}

/// A part of the count, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Entered {
    count: Arc<AtomicUsize>,
    amount: usize,
}

impl Bounded {
    /// Returns an empty count.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            count: Arc::default(),
            limit,
        }
    }

    /// Takes `amount` of what is free; nothing where that is less.
    pub(crate) fn enter(&self, amount: usize) -> Option<Entered> {
        let entered = Entered {
            count: Arc::clone(&self.count),
            amount,
        };
        let before = self.count.fetch_add(amount, Ordering::AcqRel);
        (before.saturating_add(amount) <= self.limit).then_some(entered)
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.count.fetch_sub(self.amount, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_the_limit_is_kept_and_given_back() {
        let bounded = Bounded::new(3);
        let two = bounded.enter(2).unwrap();
        assert!(bounded.enter(2).is_none());
        let one = bounded.enter(1);
        assert!(one.is_some());
        drop(two);
        assert!(bounded.enter(2).is_some());
    }
}
