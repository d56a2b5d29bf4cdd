//! Slots that attempts hold at upstreams.

use super::region::RegionTraffic;
use foxtide_core::choice::{
    Completion,
    CompletionKind,
    Pick,
    StatedRate,
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

/// Result of trying to take a slot.
pub(crate) enum SlotChoice {
    Taken(Slot),
    /// All slots are taken; the next may be free after this time.
    Wait(Duration),
    /// The rate that the upstreams accept is used up for this time.
    Throttled(Duration),
    /// The upstreams rest for this time.
    Resting(Duration),
    /// No upstream is available.
    NoUpstream,
}

impl RegionTraffic {
    /// Takes a slot at the best upstream, preferably one that is not in
    /// `tried`.
    pub(crate) fn take(self: &Arc<Self>, tried: &[UpstreamId], now: MonotonicTime) -> SlotChoice {
        match self.pick(tried, now) {
            Pick::Take(ticket) => SlotChoice::Taken(Slot::new(Arc::clone(self), ticket, now)),
            Pick::Wait { retry_in } => SlotChoice::Wait(retry_in),
            Pick::Throttled { retry_in } => SlotChoice::Throttled(retry_in),
            Pick::Resting { retry_in } => SlotChoice::Resting(retry_in),
            Pick::Empty => SlotChoice::NoUpstream,
        }
    }
}

/// Slot at an upstream, released on drop.
///
/// An attempt may be dropped at any await, because its caller disconnected or
/// another attempt was faster.
pub(crate) struct Slot {
    region: Arc<RegionTraffic>,
    ticket: Option<Ticket>,
    upstream: Upstream,
    taken_at: MonotonicTime,
    taken: Instant,
}

impl Slot {
    fn new(region: Arc<RegionTraffic>, ticket: Ticket, now: MonotonicTime) -> Self {
        Self {
            region,
            upstream: ticket.upstream().clone(),
            ticket: Some(ticket),
            taken_at: now,
            taken: Instant::now(),
        }
    }

    pub(crate) fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the maximum number of open connections to the upstream.
    pub(crate) fn connection_limit(&self) -> usize {
        let limit = self.ticket.as_ref().map_or(1, Ticket::connection_limit);
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Releases the slot and reports how the attempt ended.
    pub(crate) fn finish(mut self, completion: Completion) {
        self.release(completion);
    }

    /// Records what a response states on the upstream's rate; returns whether the upstream
    /// begins or ends to limit it.
    pub(crate) fn record_stated_rate(&self, stated: StatedRate) -> bool {
        let Some(ticket) = &self.ticket else {
            return false;
        };
        let (sent_at, now) = (self.taken_at, self.taken_at + self.held());
        self.region
            .with_balancer(|balancer| balancer.record_stated_rate(ticket, stated, sent_at, now))
    }

    /// Records that the upstream has announced that it is draining.
    pub(crate) fn record_draining(&self) {
        if let Some(ticket) = &self.ticket {
            let now = self.taken_at + self.held();
            self.region
                .with_balancer(|balancer| balancer.record_draining(ticket, now));
        }
    }

    /// Records that the upstream wants rest from this instance.
    pub(crate) fn rest(&self, time: Duration) {
        if let Some(ticket) = &self.ticket {
            let now = self.taken_at + self.held();
            self.region
                .with_balancer(|balancer| balancer.rest(ticket, time, now));
        }
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
