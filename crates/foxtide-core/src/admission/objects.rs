//! The objects that an upstream served recently.

use crate::placement::ObjectKey;
use std::collections::VecDeque;

/// The number of objects remembered: somewhat more than upstreams cache, since a stale
/// entry only worsens the order of waiting requests.
const OBJECTS_MAX: usize = 32;

/// The most recently served objects, newest last.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    objects: VecDeque<ObjectKey>,
}

impl RecentObjects {
    pub(super) fn contains(&self, object: ObjectKey) -> bool {
        self.objects.contains(&object)
    }

    pub(super) fn insert(&mut self, object: ObjectKey) {
        self.objects.retain(|recent| *recent != object);
        self.objects.push_back(object);
        if self.objects.len() > OBJECTS_MAX {
            self.objects.pop_front();
        }
    }

    pub(super) fn remove(&mut self, object: ObjectKey) {
        self.objects.retain(|recent| *recent != object);
    }
}
