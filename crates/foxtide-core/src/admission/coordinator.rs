//! The slots of all upstreams for which this instance speaks.

use super::queue::SlotQueue;
use super::request::{
    Answer,
    Ending,
    SlotRequest,
    Ticket, //
};
use crate::ids::UpstreamId;
use crate::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::HashMap;

/// An answer and whom it is for.
pub type AddressedAnswer = (Ticket, Answer);

/// The slots of an upstream since it started.
#[derive(Clone, Debug, Default)]
struct Incarnation {
    born_at: Option<WallTime>,
    queue: SlotQueue,
}

/// Gives out the slots of upstreams to those that ask.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    queues: HashMap<UpstreamId, Incarnation>,
    upstreams: HashMap<Ticket, UpstreamId>,
}

impl Coordinator {
    /// Takes in a question about an upstream with `slots` slots; one that asks again
    /// keeps its place and is answered as things stand then.
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

    /// Counts a request that is sent without a grant.
    pub fn record_ungranted(&mut self, request: &SlotRequest, slots: u32, now: MonotonicTime) {
        let queue = self.queue_of(request);
        queue.set_slots(slots);
        queue.record_ungranted(request, now);
        self.upstreams
            .insert(request.ticket, request.upstream.clone());
    }

    /// Takes in that a request ended or that its requester waits no longer.
    pub fn end(
        &mut self,
        ticket: Ticket,
        ending: Ending,
        now: MonotonicTime,
    ) -> Vec<AddressedAnswer> {
        let mut answers = Vec::new();
        let upstream = self.upstreams.remove(&ticket);
        let incarnation = upstream.and_then(|upstream| self.queues.get_mut(&upstream));
        if let Some(Incarnation { queue, .. }) = incarnation {
            queue.end(ticket, ending, now, &mut answers);
        }
        self.remove_rejected(&answers);
        answers
    }

    /// Forgets the incarnations that `is_known` does not know.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId, Option<WallTime>) -> bool) {
        self.queues
            .retain(|upstream, incarnation| is_known(upstream, incarnation.born_at));
        let queues = &self.queues;
        self.upstreams.retain(|ticket, upstream| {
            let incarnation = queues.get(upstream);
            incarnation.is_some_and(|incarnation| incarnation.queue.contains(*ticket))
        });
    }

    /// Returns the slots that a request asks for. An upstream that has started again holds
    /// no request of before and knows no object; one that asks for an earlier incarnation
    /// learns of its end before it sends anything.
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
            if matches!(answer, Answer::Refused { .. } | Answer::Busy) {
                self.upstreams.remove(ticket);
            }
        }
    }
}
