//! The slot that an attempt holds at an upstream.

use super::region::RegionTraffic;
use foxtide_core::choice::{
    Completion,
    CompletionKind,
    Pick,
    Ticket, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// What a try to take a slot brought.
pub(crate) enum SlotChoice {
    /// A slot.
    Taken(Slot),
    /// All are taken; the next may be free after this time.
    Wait(Duration),
    /// No upstream serves.
    NoUpstream,
}

impl RegionTraffic {
    /// Takes a slot at the best upstream, preferably none of `tried`.
    pub(crate) fn take(self: &Arc<Self>, tried: &[UpstreamId], now: MonotonicTime) -> SlotChoice {
        match self.pick(tried, now) {
            Pick::Take(ticket) => SlotChoice::Taken(Slot::new(Arc::clone(self), ticket, now)),
            Pick::Wait { retry_in } => SlotChoice::Wait(retry_in),
            Pick::Empty => SlotChoice::NoUpstream,
        }
    }
}

/// A slot at an upstream, given back when it is dropped.
///
/// An attempt may be dropped at any point, because its caller went away or
/// another attempt was faster; the slot must not stay taken then.
pub(crate) struct Slot {
    region: Arc<RegionTraffic>,
    ticket: Option<Ticket>,
    upstream: Upstream,
    taken_at: MonotonicTime,
    taken: Instant,
}

impl Slot {
    /// Holds a slot.
    fn new(region: Arc<RegionTraffic>, ticket: Ticket, now: MonotonicTime) -> Self {
        Self {
            region,
            upstream: ticket.upstream().clone(),
            ticket: Some(ticket),
            taken_at: now,
            taken: Instant::now(),
        }
    }

    /// Returns the upstream.
    pub(crate) fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns how many connections may be open to the upstream.
    pub(crate) fn connection_limit(&self) -> usize {
        let limit = self.ticket.as_ref().map_or(1, Ticket::connection_limit);
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Gives the slot back and tells how the attempt ended.
    pub(crate) fn finish(mut self, completion: Completion) {
        self.release(completion);
    }

    /// Returns how long the slot has been held.
    pub(crate) fn held(&self) -> Duration {
        self.taken.elapsed()
    }

    fn release(&mut self, completion: Completion) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.taken_at + self.held();
            self.region.finish(ticket, completion, now);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = self.held();
        self.release(Completion::new(CompletionKind::Cancelled, held));
    }
}
