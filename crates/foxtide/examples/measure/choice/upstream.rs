//! A fake upstream in virtual time: slots, a short queue, refusals.

use foxtide_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// How an upstream behaves.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamProfile {
    /// How many requests it runs at a time.
    pub(crate) slots: usize,
    /// How many requests may wait there; further ones are refused.
    pub(crate) queue: usize,
    /// The mean time that a request runs.
    pub(crate) run_mean: Duration,
    /// The part of its answers that are server errors.
    pub(crate) error_share: f64,
    /// The utilization it reports whatever the truth is.
    pub(crate) false_utilization: Option<f64>,
    /// When it stops to answer anything.
    pub(crate) dies_at: Option<MonotonicTime>,
}

impl Default for UpstreamProfile {
    fn default() -> Self {
        Self {
            slots: 4,
            queue: 0,
            run_mean: Duration::from_millis(20),
            error_share: 0.0,
            false_utilization: None,
            dies_at: None,
        }
    }
}

/// What an upstream does with a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reception {
    /// It starts to run.
    Runs,
    /// It waits for a slot.
    Waits,
    /// It is refused.
    Rejected,
    /// Nothing is ever heard of it.
    Dropped,
}

/// One upstream; requests are known by number.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) profile: UpstreamProfile,
    running: usize,
    waiting: VecDeque<usize>,
}

impl FakeUpstream {
    /// Returns an idle upstream.
    pub(crate) fn new(profile: UpstreamProfile) -> Self {
        Self {
            profile,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Tells whether it has stopped to answer.
    pub(crate) fn is_dead(&self, now: MonotonicTime) -> bool {
        self.profile.dies_at.is_some_and(|at| now >= at)
    }

    /// Takes a request in or refuses it.
    pub(crate) fn receive(&mut self, attempt: usize, now: MonotonicTime) -> Reception {
        if self.is_dead(now) {
            return Reception::Dropped;
        }
        if self.running < self.profile.slots {
            self.running += 1;
            return Reception::Runs;
        }
        if self.waiting.len() < self.profile.queue {
            self.waiting.push_back(attempt);
            return Reception::Waits;
        }
        Reception::Rejected
    }

    /// Ends a request; returns the one that starts in its slot.
    pub(crate) fn finish_request(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Returns the utilization that it reports.
    pub(crate) fn reported_utilization(&self) -> f64 {
        let requests = (self.running + self.waiting.len()) as f64;
        let utilization = requests / self.profile.slots as f64;
        self.profile.false_utilization.unwrap_or(utilization)
    }
}
