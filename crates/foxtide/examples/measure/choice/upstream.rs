//! A simulated upstream with slots and a bounded queue.

use foxtide_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The behaviour of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamProfile {
    /// The number of requests that run concurrently.
    pub(crate) slots: usize,
    /// The number of requests that may wait; further ones are rejected.
    pub(crate) queue: usize,
    /// The mean run time of a request.
    pub(crate) run_mean: Duration,
    /// The share of answers that are server errors.
    pub(crate) error_share: f64,
    /// The utilization that it reports instead of the actual one.
    pub(crate) false_utilization: Option<f64>,
    /// The time from which it answers nothing.
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

/// The upstream's reaction to a request that reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reception {
    /// The request starts to run.
    Runs,
    /// The request waits for a slot.
    Waits,
    /// The request is rejected.
    Rejected,
    /// The request is never answered.
    Dropped,
}

/// A simulated upstream; requests are identified by number.
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

    pub(crate) fn is_dead(&self, now: MonotonicTime) -> bool {
        self.profile.dies_at.is_some_and(|at| now >= at)
    }

    /// Accepts or rejects a request.
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

    /// Ends a running request; returns the waiting one that takes its slot.
    pub(crate) fn finish_request(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    pub(crate) fn reported_utilization(&self) -> f64 {
        let requests = (self.running + self.waiting.len()) as f64;
        let utilization = requests / self.profile.slots as f64;
        self.profile.false_utilization.unwrap_or(utilization)
    }
}
