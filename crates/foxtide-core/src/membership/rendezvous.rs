//! Rendezvous hashing: all instances assign roles alike without coordination.
//!
//! Thaler and Ravishankar, "A name-based mapping scheme for rendezvous" (1996). When an
//! instance leaves, only its own roles are reassigned.

use crate::ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Role for which instances are ranked; each role has its own ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Exchanges updates with other zones on behalf of its own.
    Delegate,
    /// Watches the store on behalf of its availability zone.
    Watcher,
    /// Position in the tree that aggregates load.
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

/// Returns the weight of `instance` for `role`; the greatest ranks first.
pub fn weight(role: Role, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), role.seed())
}

/// Returns `instances` by descending weight for `role`.
pub fn rank<'a>(
    role: Role,
    instances: impl IntoIterator<Item = &'a InstanceId>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = instances.into_iter().collect();
    ranked.sort_by_cached_key(|instance| std::cmp::Reverse(weight(role, instance)));
    ranked
}
