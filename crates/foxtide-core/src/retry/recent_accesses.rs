//! The objects that upstreams served recently for this instance.

use crate::ids::UpstreamId;
use crate::placement::ObjectKey;
use std::collections::HashSet;

/// The number of accesses in a generation. An instance that sends 80 requests a second for distinct
/// objects fills one in 25 s, while upstreams remember 9 to 40 objects each.
const GENERATION_MAX: usize = 2_048;

/// The most recent accesses, in two generations: the older one is dropped when the newer one is
/// full.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAccesses {
    newer: HashSet<(UpstreamId, ObjectKey)>,
    older: HashSet<(UpstreamId, ObjectKey)>,
}

impl RecentAccesses {
    pub(super) fn contains(&self, upstream: &UpstreamId, object: ObjectKey) -> bool {
        let access = (upstream.clone(), object);
        self.newer.contains(&access) || self.older.contains(&access)
    }

    pub(super) fn insert(&mut self, upstream: &UpstreamId, object: ObjectKey) {
        if self.newer.len() >= GENERATION_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert((upstream.clone(), object));
    }
}
