//! Fault injection: packet loss and network partitions, for tests and benchmarks.

use parking_lot::Mutex;
use parking_lot::RwLock;
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

/// The side of a partition to which an address belongs.
type Side = u32;

#[derive(Debug, Default)]
struct Rules {
    loss_share: f64,
    sides: HashMap<SocketAddr, Side>,
}

/// Injects network faults; clones share the faults.
///
/// Without faults it costs one atomic load per message.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    active: AtomicBool,
    rules: RwLock<Rules>,
    rng: Mutex<StdRng>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            active: AtomicBool::new(false),
            rules: RwLock::default(),
            rng: Mutex::new(StdRng::seed_from_u64(0)),
        }
    }
}

impl Faults {
    /// Drops this share of all datagrams at random.
    pub fn set_loss(&self, share: f64) {
        self.change(|rules| rules.loss_share = share);
    }

    /// Isolates the given groups from one another and from all other addresses.
    pub fn partition(&self, groups: &[Vec<SocketAddr>]) {
        self.change(|rules| {
            rules.sides.clear();
            for (side, group) in (1..).zip(groups) {
                let sides = group.iter().map(|address| (*address, side));
                rules.sides.extend(sides);
            }
        });
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.change(|rules| *rules = Rules::default());
    }

    fn change(&self, change: impl FnOnce(&mut Rules)) {
        let mut rules = self.0.rules.write();
        change(&mut rules);
        let active = rules.loss_share > 0.0 || !rules.sides.is_empty();
        self.0.active.store(active, Ordering::Release);
    }

    /// Returns whether a datagram is delivered.
    pub(crate) fn delivers_datagram(&self, from: SocketAddr, to: SocketAddr) -> bool {
        if !self.0.active.load(Ordering::Acquire) {
            return true;
        }
        let loss_share = self.0.rules.read().loss_share;
        let lost = loss_share > 0.0 && self.0.rng.lock().random_bool(loss_share);
        !lost && self.is_reachable(from, to)
    }

    /// Returns whether no partition separates two addresses.
    pub(crate) fn is_reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        if !self.0.active.load(Ordering::Acquire) {
            return true;
        }
        let rules = self.0.rules.read();
        rules.sides.get(&from) == rules.sides.get(&to)
    }
}
