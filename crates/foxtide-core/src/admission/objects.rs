//! The objects that an upstream served of late.

use crate::placement::ObjectKey;
use std::collections::VecDeque;

/// How many objects are remembered: upstreams keep 16 to 25, and one that is
/// remembered for too long only costs its request a worse place in the order.
const OBJECTS_MAX: usize = 32;

/// The objects served last, the newest at the end.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    objects: VecDeque<ObjectKey>,
}

impl RecentObjects {
    /// Tells whether an object was served of late.
    pub(super) fn contains(&self, object: ObjectKey) -> bool {
        self.objects.contains(&object)
    }

    /// Notes that an object was served.
    pub(super) fn insert(&mut self, object: ObjectKey) {
        self.objects.retain(|recent| *recent != object);
        self.objects.push_back(object);
        if self.objects.len() > OBJECTS_MAX {
            self.objects.pop_front();
        }
    }

    /// Notes that an object was not served after all.
    pub(super) fn remove(&mut self, object: ObjectKey) {
        self.objects.retain(|recent| *recent != object);
    }
}
