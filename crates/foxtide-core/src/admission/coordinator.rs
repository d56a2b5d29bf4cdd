//! The slots of all upstreams for which this instance speaks.

use super::queue::SlotQueue;
use super::request::{
    Answer,
    Ending,
    SlotRequest,
    Ticket, //
};
use crate::ids::UpstreamId;
use crate::time::MonotonicTime;
use std::collections::HashMap;

/// An answer and whom it is for.
pub type Directed = (Ticket, Answer);

/// Gives out the slots of upstreams to those that ask.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    queues: HashMap<UpstreamId, SlotQueue>,
    upstreams: HashMap<Ticket, UpstreamId>,
}

impl Coordinator {
    /// Takes in a question about an upstream with `slots` slots; one that asks again
    /// keeps its place and is answered as things stand then.
    pub fn ask(&mut self, request: &SlotRequest, slots: u32, now: MonotonicTime) -> Vec<Directed> {
        let mut answers = Vec::new();
        let queue = self.queues.entry(request.upstream.clone()).or_default();
        queue.set_slots(slots);
        queue.ask(request, now, &mut answers);
        self.upstreams
            .insert(request.ticket, request.upstream.clone());
        self.forget_refused(&answers);
        answers
    }

    /// Counts a request that is sent without a grant.
    pub fn tell(&mut self, request: &SlotRequest, slots: u32, now: MonotonicTime) {
        let queue = self.queues.entry(request.upstream.clone()).or_default();
        queue.set_slots(slots);
        queue.tell(request, now);
        self.upstreams
            .insert(request.ticket, request.upstream.clone());
    }

    /// Takes in that a request ended or that its asker waits no longer.
    pub fn end(&mut self, ticket: Ticket, ending: Ending, now: MonotonicTime) -> Vec<Directed> {
        let mut answers = Vec::new();
        let queue = self.upstreams.remove(&ticket);
        let queue = queue.and_then(|upstream| self.queues.get_mut(&upstream));
        if let Some(queue) = queue {
            queue.end(ticket, ending, now, &mut answers);
        }
        self.forget_refused(&answers);
        answers
    }

    /// Forgets the upstreams that `is_known` does not know.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.queues.retain(|upstream, _| is_known(upstream));
        let queues = &self.queues;
        self.upstreams.retain(|ticket, upstream| {
            let queue = queues.get(upstream);
            queue.is_some_and(|queue| queue.knows(*ticket))
        });
    }

    fn forget_refused(&mut self, answers: &[Directed]) {
        for (ticket, answer) in answers {
            if matches!(answer, Answer::Refused { .. } | Answer::Busy) {
                self.upstreams.remove(ticket);
            }
        }
    }
}
