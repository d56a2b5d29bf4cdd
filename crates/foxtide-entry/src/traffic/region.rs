//! A service's upstreams in one region.

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

/// The upstreams of one service in one region.
#[derive(Debug)]
pub(crate) struct RegionTraffic {
    balancer: Mutex<Balancer>,
    /// Told when a place became free.
    freed: Event,
    sent_planned: AtomicU64,
    sent_spilled: AtomicU64,
}

impl RegionTraffic {
    /// Returns a region without upstreams.
    pub(super) fn new(options: BalancerOptions, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            balancer: Mutex::new(Balancer::new(options, seed)),
            freed: Event::new(),
            sent_planned: AtomicU64::new(0),
            sent_spilled: AtomicU64::new(0),
        })
    }

    /// Picks the best upstream, preferably none of `tried`.
    pub(super) fn pick(&self, tried: &[UpstreamId], now: MonotonicTime) -> Pick {
        let draw = fastrand::u64(..);
        self.balancer.lock().pick_avoiding(now, draw, tried)
    }

    /// Counts an attempt that is sent here.
    pub(crate) fn count_sent(&self, spilled: bool) {
        let count = if spilled {
            &self.sent_spilled
        } else {
            &self.sent_planned
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the attempts sent here as planned, and as spill.
    pub(super) fn sent(&self) -> (u64, u64) {
        let planned = self.sent_planned.load(Ordering::Relaxed);
        (planned, self.sent_spilled.load(Ordering::Relaxed))
    }

    /// Returns what completes when a place becomes free from now on.
    pub(crate) fn freed(&self) -> EventListener {
        self.freed.listen()
    }

    /// Tells whether there is room for second attempts beside slow ones.
    pub(crate) fn has_spare_capacity(&self) -> bool {
        self.balancer.lock().has_spare_capacity()
    }

    /// Takes a ticket back.
    pub(super) fn finish(&self, ticket: Ticket, completion: Completion, now: MonotonicTime) {
        self.balancer.lock().finish(ticket, completion, now);
        self.freed.notify(1);
    }

    /// Puts a list of upstreams in force.
    pub(super) fn configure(&self, upstreams: &[Upstream], sharing: Sharing, now: MonotonicTime) {
        let mut balancer = self.balancer.lock();
        balancer.configure(upstreams, sharing.instances, now);
        balancer.set_rank(sharing.rank, now);
        drop(balancer);
        self.freed.notify(usize::MAX);
    }

    /// Runs `inspect` on the balancer.
    pub(super) fn with_balancer<T>(&self, inspect: impl FnOnce(&mut Balancer) -> T) -> T {
        inspect(&mut self.balancer.lock())
    }
}
