//! The place that an attempt holds at an upstream.

use crate::clock::Clock;
use crate::parts::{Completion, CompletionKind, Parts, Steer};
use foxtide_core::time::MonotonicTime;

type TicketOf<P> = <<P as Parts>::Steer as Steer>::Ticket;

/// A place at an upstream, given back when it is dropped.
///
/// An attempt may be dropped at any point, because its caller went away; the
/// place must not stay taken then.
pub(crate) struct Place<'a, P: Parts> {
    parts: &'a P,
    ticket: Option<TicketOf<P>>,
    since: MonotonicTime,
}

impl<'a, P: Parts> Place<'a, P> {
    /// Holds a place.
    pub(crate) fn new(parts: &'a P, ticket: TicketOf<P>, since: MonotonicTime) -> Self {
        Self {
            parts,
            ticket: Some(ticket),
            since,
        }
    }

    /// Gives the place back and tells how the attempt ended.
    pub(crate) fn finish(mut self, kind: CompletionKind, load: Option<String>, leaving: bool) {
        self.give_back(kind, load, leaving);
    }

    fn give_back(&mut self, kind: CompletionKind, load: Option<String>, leaving: bool) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let now = self.parts.clock().now();
        let completion = Completion {
            kind,
            latency: now - self.since,
            load,
            leaving,
        };
        self.parts.steer().finish(ticket, completion, now);
    }
}

impl<P: Parts> Drop for Place<'_, P> {
    fn drop(&mut self) {
        self.give_back(CompletionKind::Cancelled, None, false);
    }
}
