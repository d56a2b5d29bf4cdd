//! Rendezvous hashing: every instance picks the same few without talking.
//!
//! Thaler and Ravishankar, "A name-based mapping scheme for rendezvous"
//! (1996). When one instance leaves, only the roles it held move.

use crate::ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The role for which instances are ranked; roles fall on different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Speaks for its availability zone with other zones.
    Delegate,
    /// Holds a watch on the store for its availability zone.
    Watcher,
    /// Place in the tree over which load is summed.
    Aggregator,
}

impl Role {
    const fn seed(self) -> u64 {
        match self {
            Self::Delegate => 1,
            Self::Watcher => 2,
            Self::Aggregator => 3,
        }
    }
}

/// Returns the weight of `instance` for `role`; the greatest is picked first.
pub fn weight(role: Role, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), role.seed())
}

/// Returns `instances` ordered by their weight for `role`, the first pick
/// first.
pub fn rank<'a>(
    role: Role,
    instances: impl IntoIterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = instances.into_iter().collect();
    ranked.sort_by_cached_key(|instance| std::cmp::Reverse(weight(role, instance)));
    ranked
}
