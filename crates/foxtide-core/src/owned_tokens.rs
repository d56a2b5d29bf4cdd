//! Rate tokens that are partitioned among the live instances.

use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use std::collections::HashMap;
use std::fmt::Display;
use std::hash::Hash;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// This instance's use of a fleet-wide limit.
///
/// The limit is divided into tokens. Rendezvous hashing assigns each token to one live
/// instance, so that instances agree on the owners without coordination.
#[derive(Clone, Debug)]
pub(crate) struct OwnedTokens<K> {
    /// The end of each token's current use.
    used_until: HashMap<(K, u64), MonotonicTime>,
}

impl<K> Default for OwnedTokens<K> {
    fn default() -> Self {
        Self {
            used_until: HashMap::new(),
        }
    }
}

impl<K: Clone + Display + Eq + Hash> OwnedTokens<K> {
    /// Takes one of the `count` tokens of `key` for `period` and returns whether one was
    /// free. `instances` are the members believed alive, including `local`.
    pub(crate) fn try_take(
        &mut self,
        key: &K,
        count: u64,
        period: Duration,
        local: &InstanceId,
        instances: &[InstanceId],
        now: MonotonicTime,
    ) -> bool {
        let name = key.to_string();
        for token in 0..count {
            if owner(&name, token, instances) != Some(local) {
                continue;
            }
            let used_until = self.used_until.entry((key.clone(), token)).or_insert(now);
            if *used_until <= now {
                *used_until = now + period;
                return true;
            }
        }
        false
    }

    /// Removes tokens whose use has ended.
    pub(crate) fn prune(&mut self, now: MonotonicTime) {
        self.used_until.retain(|_, &mut until| now < until);
    }
}

fn owner<'a>(name: &str, token: u64, instances: &'a [InstanceId]) -> Option<&'a InstanceId> {
    let seed = xxh3_64_with_seed(name.as_bytes(), token);
    instances
        .iter()
        .max_by_key(|instance| xxh3_64_with_seed(instance.as_str().as_bytes(), seed))
}
