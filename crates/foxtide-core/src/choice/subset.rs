//! Assignment of upstreams, slots and connections to one instance.

use super::candidate::Candidate;
use super::{
    BalancerOptions,
    Rank, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The seed of the upstream order common to all ranked instances.
const COMMON_SEED: u64 = 0;

/// The inputs that determine the assignment of one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Assignment {
    /// The number of instances that share the connections.
    pub(crate) instances: u32,
    /// This instance's rank among those that share the slots.
    pub(crate) rank: Option<Rank>,
    /// The instance's seed, used if the rank is unknown.
    pub(crate) seed: u64,
}

impl Assignment {
    /// Sets this instance's subset, slots and connection limits.
    pub(crate) fn apply(&self, candidates: &mut [Candidate], options: &BalancerOptions) {
        let mut order = self.order(candidates);
        let eligible = order.len();
        order.truncate(self.subset_size(candidates, eligible, options));
        let users = self.users_per_upstream(order.len(), eligible);
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.in_subset = order.contains(&index);
            candidate.own_slots = 0;
            candidate.connection_limit = (candidate.upstream.connections / users).max(1);
            let zone = &candidate.upstream.availability_zone;
            let own_zone = options.availability_zone.as_ref();
            candidate.in_other_zone = own_zone.is_some_and(|own| own != zone);
        }
        self.assign_slots(candidates);
    }

    /// Returns the indices of the eligible upstreams in order of preference.
    ///
    /// With a rank, all instances rotate one common order by different offsets,
    /// so that each upstream has the same number of users; without, each
    /// instance has its own order by rendezvous hash.
    fn order(&self, candidates: &[Candidate]) -> Vec<usize> {
        let seed = self.rank.map_or(self.seed, |_| COMMON_SEED);
        let hash = |index: &usize| {
            let name = candidates[*index].id().as_str();
            xxh3_64_with_seed(name.as_bytes(), seed)
        };
        let eligible = |index: &usize| candidates[*index].is_eligible();
        let mut order: Vec<usize> = (0..candidates.len()).filter(eligible).collect();
        order.sort_by_key(hash);
        if let Some(rank) = self.rank {
            let start = first_index(rank, order.len());
            order.rotate_left(start);
        }
        order
    }

    /// Returns the number of upstreams to use: as many as its share of the
    /// connections covers at `connections_min` each, but at least `subset_min`.
    fn subset_size(
        &self,
        candidates: &[Candidate],
        eligible: usize,
        options: &BalancerOptions,
    ) -> usize {
        let usable = candidates.iter().filter(|c| c.is_eligible());
        let connections: u64 = usable.map(|c| u64::from(c.upstream.connections)).sum();
        let per_upstream = u64::from(options.connections_min.max(1));
        let affordable = connections / u64::from(self.instances) / per_upstream;
        let size = usize::try_from(affordable).unwrap_or(usize::MAX);
        size.max(options.subset_min).min(eligible)
    }

    /// Returns the number of instances that use each upstream.
    fn users_per_upstream(&self, subset: usize, eligible: usize) -> u32 {
        let pairs = u64::from(self.instances) * subset as u64;
        let users = pairs.div_ceil(eligible.max(1) as u64);
        u32::try_from(users).unwrap_or(u32::MAX).max(1)
    }

    /// Assigns the slots round-robin, so that each has one owning instance.
    fn assign_slots(&self, candidates: &mut [Candidate]) {
        let Some(rank) = self.rank else {
            return;
        };
        let mut slot = 0;
        for candidate in candidates.iter_mut().filter(|c| c.is_eligible()) {
            for _ in 0..candidate.upstream.slots {
                candidate.own_slots += u32::from(slot % rank.total.max(1) == rank.index);
                slot += 1;
            }
        }
    }
}

/// Returns the offset in an order of `length` at which a rank starts.
fn first_index(rank: Rank, length: usize) -> usize {
    let total = u64::from(rank.total.max(1));
    let index = u64::from(rank.index) % total * length as u64 / total;
    usize::try_from(index).unwrap_or(0)
}
