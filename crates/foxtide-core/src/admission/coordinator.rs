//! Slot coordination for the upstreams that this instance is responsible for.

use super::queue::SlotQueue;
use super::request::{
    Answer,
    EndReport,
    SlotRequest,
    Ticket, //
};
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;
use std::time::Duration;

/// An answer with the ticket of the request that it belongs to.
pub type AddressedAnswer = (Ticket, Answer);

/// The slot queue of one run of an upstream.
#[derive(Clone, Debug, Default)]
struct Incarnation {
    born_at: Option<WallTime>,
    queue: SlotQueue,
}

/// Grants the slots of upstreams to the requests of all instances.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    queues: HashMap<UpstreamId, Incarnation>,
    upstreams: HashMap<Ticket, UpstreamId>,
}

impl Coordinator {
    /// Asks for a slot of an upstream that has `slots` of them. A repeated request keeps
    /// its place in the queue and gets its current answer.
    pub fn ask(
        &mut self,
        request: &SlotRequest,
        slots: u32,
        now: MonotonicTime,
    ) -> Vec<AddressedAnswer> {
        let mut answers = Vec::new();
        let queue = self.queue_of(request);
        queue.set_slots(slots);
        queue.ask(request, now, &mut answers);
        self.upstreams
            .insert(request.ticket, request.upstream.clone());
        self.remove_rejected(&answers);
        answers
    }

    /// Tells whether a request concerns an upstream that limits its rate, so that
    /// [`Self::set_coordinating`] is called first.
    pub fn is_limited(&self, request: &SlotRequest) -> bool {
        let is_reported = request.limit.is_some_and(|report| report.limit.is_some());
        let incarnation = self.queues.get(&request.upstream);
        is_reported || incarnation.is_some_and(|incarnation| incarnation.queue.is_limited())
    }

    /// Records whether this instance coordinates the upstream of a request: `since` is when it
    /// may have become the coordinator, or `None` if it is not.
    pub fn set_coordinating(
        &mut self,
        request: &SlotRequest,
        since: Option<MonotonicTime>,
        now: MonotonicTime,
    ) {
        self.queue_of(request).set_coordinating(since, now);
    }

    /// Counts a request that is sent without a grant.
    pub fn record_ungranted(&mut self, request: &SlotRequest, slots: u32, now: MonotonicTime) {
        let queue = self.queue_of(request);
        queue.set_slots(slots);
        queue.record_ungranted(request, now);
        self.upstreams
            .insert(request.ticket, request.upstream.clone());
    }

    /// Releases the slot of a request that ended or whose requester no longer waits.
    pub fn end(
        &mut self,
        ticket: Ticket,
        end: impl Into<EndReport>,
        now: MonotonicTime,
    ) -> Vec<AddressedAnswer> {
        let mut answers = Vec::new();
        let upstream = self.upstreams.remove(&ticket);
        let incarnation = upstream.and_then(|upstream| self.queues.get_mut(&upstream));
        if let Some(Incarnation { queue, .. }) = incarnation {
            queue.end(ticket, end.into(), now, &mut answers);
        }
        self.remove_rejected(&answers);
        answers
    }

    /// Returns the number of slots that are reserved for urgent work, over all upstreams.
    pub fn reserved_slots(&self, now: MonotonicTime) -> usize {
        let queues = self.queues.values();
        let reserved = queues.map(|incarnation| incarnation.queue.reserved_slots(now));
        reserved.sum()
    }

    /// Drops the queues whose upstream and start time `is_known` does not accept.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool) {
        self.queues
            .retain(|upstream, incarnation| is_known(upstream, incarnation.born_at));
        let queues = &self.queues;
        self.upstreams.retain(|ticket, upstream| {
            let incarnation = queues.get(upstream);
            incarnation.is_some_and(|incarnation| incarnation.queue.contains(*ticket))
        });
    }

    /// Returns the largest difference of the service time used in the last 5 s between two
    /// organisations that wait for slots of the same upstream.
    pub fn fair_share_debt(&self, now: MonotonicTime) -> Duration {
        let queues = self.queues.values();
        let debts = queues.map(|incarnation| incarnation.queue.fair_share_debt(now));
        debts.max().unwrap_or_default()
    }

    /// Returns the queue of the request's upstream. A later start time replaces the queue,
    /// since a restarted upstream has no requests in progress and no cached objects.
    fn queue_of(&mut self, request: &SlotRequest) -> &mut SlotQueue {
        let incarnation = self.queues.entry(request.upstream.clone()).or_default();
        if incarnation.born_at < request.born_at {
            *incarnation = Incarnation {
                born_at: request.born_at,
                queue: SlotQueue::default(),
            };
        }
        &mut incarnation.queue
    }

    fn remove_rejected(&mut self, answers: &[AddressedAnswer]) {
        for (ticket, answer) in answers {
            if !matches!(answer, Answer::Granted | Answer::Waiting) {
                self.upstreams.remove(ticket);
            }
        }
    }
}
