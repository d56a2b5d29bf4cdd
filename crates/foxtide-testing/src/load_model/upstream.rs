//! One upstream.

use super::request::RequestId;
use std::collections::VecDeque;

/// What becomes of a request that reaches an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReceiveOutcome {
    /// It is worked on; whether its object is known.
    Started { is_known: bool },
    /// It waits.
    Queued,
    /// It does not run.
    Refused,
}

/// What an upstream has room for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Requests that it works on.
    pub(super) slots: usize,
    /// Requests that wait.
    pub(super) queue_max: usize,
    /// Objects that it knows.
    pub(super) known_max: usize,
}

/// Slots, a queue of first come first served, and the objects that it knows.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    running: Vec<RequestId>,
    queue: VecDeque<(RequestId, u64)>,
    /// The newest at the end.
    known: VecDeque<u64>,
    /// Whether it gets nothing.
    pub(super) is_away: bool,
    /// How many times as long its work takes.
    pub(super) work_factor: f64,
    /// The part of the requests that it refuses.
    pub(super) refusing_share: f64,
}

impl Upstream {
    /// Returns an upstream that knows nothing.
    pub(super) fn new() -> Self {
        Self {
            work_factor: 1.0,
            ..Self::default()
        }
    }

    /// Returns how many requests it has.
    pub(super) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Takes in a request for an object; `draw` in 0 to 1 decides whether it is refused
    /// without need.
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

    /// Removes a request that has ended or is cut; returns the one that begins in its
    /// place, and whether its object is known.
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

    /// Drops all that it has and knows; returns the requests.
    pub(super) fn clear(&mut self) -> Vec<RequestId> {
        self.known.clear();
        let queued = self.queue.drain(..).map(|(request, _)| request);
        let mut lost: Vec<RequestId> = queued.collect();
        lost.append(&mut self.running);
        lost
    }

    /// An object is known from the beginning of its first request on.
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
