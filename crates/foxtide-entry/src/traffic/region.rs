//! Traffic state of a service in one region.

use event_listener::{
    Event,
    EventListener, //
};
use foxtide_core::choice::{
    Balancer,
    BalancerOptions,
    Completion,
    Pick,
    Sharing,
    Ticket, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Balancer and counts of a service's upstreams in one region.
#[derive(Debug)]
pub(crate) struct RegionTraffic {
    balancer: Mutex<Balancer>,
    /// Notified when a slot is released.
    slot_freed: Event,
    sent_planned: AtomicU64,
    sent_spilled: AtomicU64,
}

impl RegionTraffic {
    pub(super) fn new(options: BalancerOptions, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            balancer: Mutex::new(Balancer::new(options, seed)),
            slot_freed: Event::new(),
            sent_planned: AtomicU64::new(0),
            sent_spilled: AtomicU64::new(0),
        })
    }

    /// Picks the best upstream, preferably one that is not in `tried`.
    pub(super) fn pick(&self, tried: &[UpstreamId], now: MonotonicTime) -> Pick {
        let draw = fastrand::u64(..);
        self.balancer.lock().pick_avoiding(now, draw, tried)
    }

    /// Counts an attempt that is sent to this region.
    pub(crate) fn count_sent(&self, spilled: bool) {
        let count = if spilled {
            &self.sent_spilled
        } else {
            &self.sent_planned
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of planned and of spilled attempts.
    pub(super) fn sent(&self) -> (u64, u64) {
        let planned = self.sent_planned.load(Ordering::Relaxed);
        (planned, self.sent_spilled.load(Ordering::Relaxed))
    }

    /// Returns a listener for the next released slot.
    pub(crate) fn slot_freed(&self) -> EventListener {
        self.slot_freed.listen()
    }

    /// Returns whether the upstreams have capacity for hedged attempts.
    pub(crate) fn has_spare_capacity(&self) -> bool {
        self.balancer.lock().has_spare_capacity()
    }

    /// Returns a ticket to the balancer and notifies a waiting request.
    pub(super) fn finish(&self, ticket: Ticket, completion: Completion, now: MonotonicTime) {
        self.balancer.lock().finish(ticket, completion, now);
        self.slot_freed.notify(1);
    }

    /// Applies a list of upstreams.
    pub(super) fn configure(&self, upstreams: &[Upstream], sharing: Sharing, now: MonotonicTime) {
        let mut balancer = self.balancer.lock();
        balancer.configure(upstreams, sharing.instances, now);
        balancer.set_rank(sharing.rank, now);
        drop(balancer);
        self.slot_freed.notify(usize::MAX);
    }

    /// Runs `inspect` on the locked balancer.
    pub(super) fn with_balancer<T>(&self, inspect: impl FnOnce(&mut Balancer) -> T) -> T {
        inspect(&mut self.balancer.lock())
    }
}
