//! Simulated upstream with slots, a queue and an object cache.

use super::request::RequestId;
use std::collections::VecDeque;

/// Result of a request's arrival at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveOutcome {
    /// Processing has started; `is_known` says whether the object was cached.
    Started {
        is_known: bool,
    },
    Queued,
    Refused,
}

/// Capacity of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Concurrent requests.
    pub(super) slots: usize,
    /// Queued requests.
    pub(super) queue_max: usize,
    /// Cached objects.
    pub(super) known_max: usize,
}

#[derive(Debug, Default)]
pub(super) struct Upstream {
    running: Vec<RequestId>,
    queue: VecDeque<(RequestId, u64)>,
    /// Cached objects, most recently used last.
    known: VecDeque<u64>,
    /// Whether it refuses all requests.
    pub(super) is_away: bool,
    /// Multiplier of the processing time.
    pub(super) work_factor: f64,
    /// Fraction of requests refused at random.
    pub(super) refusing_share: f64,
}

impl Upstream {
    /// Creates an idle upstream with an empty cache.
    pub(super) fn new() -> Self {
        Self {
            work_factor: 1.0,
            ..Self::default()
        }
    }

    /// Returns the number of running and queued requests.
    pub(super) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Starts, queues or refuses a request; `draw` (0 to 1) decides on random refusal.
    pub(super) fn receive(
        &mut self,
        request: RequestId,
        object: u64,
        limits: Limits,
        draw: f64,
    ) -> ReceiveOutcome {
        if self.is_away || draw < self.refusing_share {
            return ReceiveOutcome::Refused;
        }
        if self.running.len() < limits.slots {
            return self.begin(request, object, limits.known_max);
        }
        if self.queue.len() >= limits.queue_max {
            return ReceiveOutcome::Refused;
        }
        self.queue.push_back((request, object));
        ReceiveOutcome::Queued
    }

    /// Removes a request; returns the queued one that starts in its place and whether its
    /// object was cached.
    pub(super) fn end(&mut self, request: RequestId, limits: Limits) -> Option<(RequestId, bool)> {
        self.queue.retain(|(queued, _)| *queued != request);
        self.running.retain(|running| *running != request);
        if self.running.len() >= limits.slots {
            return None;
        }
        let (next, object) = self.queue.pop_front()?;
        match self.begin(next, object, limits.known_max) {
            ReceiveOutcome::Started { is_known } => Some((next, is_known)),
            ReceiveOutcome::Queued | ReceiveOutcome::Refused => None,
        }
    }

    /// Clears the cache and drops all requests, which are returned.
    pub(super) fn clear(&mut self) -> Vec<RequestId> {
        self.known.clear();
        let queued = self.queue.drain(..).map(|(request, _)| request);
        let mut lost: Vec<RequestId> = queued.collect();
        lost.append(&mut self.running);
        lost
    }

    /// Starts a request; its object counts as cached from now on.
    fn begin(&mut self, request: RequestId, object: u64, known_max: usize) -> ReceiveOutcome {
        let is_known = self.known.contains(&object);
        self.known.retain(|known| *known != object);
        self.known.push_back(object);
        if self.known.len() > known_max {
            self.known.pop_front();
        }
        self.running.push(request);
        ReceiveOutcome::Started { is_known }
    }
}
