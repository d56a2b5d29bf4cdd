//! The objects that an upstream served recently.

use super::service_times::ObjectAccess;
use crate::placement::ObjectKey;
use std::collections::VecDeque;
use std::time::Duration;

/// Bounds of the number of objects that an upstream is expected to keep.
const KEPT_MIN: usize = 4;
const KEPT_MAX: usize = 64;

/// The number of objects that an upstream is expected to keep before anything is learned: somewhat
/// more than upstreams cache, since a stale entry only worsens the order of waiting requests.
const KEPT_INITIAL: f64 = 32.0;

/// How far an access moves the number. A repeated access takes as long as a first one also where
/// the upstream is slow for other reasons, while a first access is never as fast as a repeated one.
/// Hence the step down is short: it takes four slow accesses to undo a fast one.
const STEP_DOWN: f64 = 0.25;
const STEP_UP: f64 = 1.0;

/// The least ratio of first to repeated service times that tells them apart; service times vary by
/// some 15 %.
const DISTINCT_RATIO: f64 = 1.5;

/// The multiple of the first service time above which an access was slow for other reasons than
/// its object.
const SLOW_FACTOR: f64 = 1.5;

/// The number of other objects that were accessed since an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Depth(usize);

/// The most recently served objects, newest last.
#[derive(Clone, Debug)]
pub(super) struct RecentObjects {
    objects: VecDeque<ObjectKey>,
    /// The number of objects that the upstream is expected to keep.
    kept: f64,
}

impl Default for RecentObjects {
    fn default() -> Self {
        Self {
            objects: VecDeque::new(),
            kept: KEPT_INITIAL,
        }
    }
}

impl RecentObjects {
    /// Returns whether the upstream is expected to have the object.
    pub(super) fn contains(&self, object: ObjectKey) -> bool {
        self.depth(object).is_some_and(|depth| self.is_kept(depth))
    }

    /// Returns the depth of an object, if it is remembered.
    pub(super) fn depth(&self, object: ObjectKey) -> Option<Depth> {
        let mut newest_first = self.objects.iter().rev();
        newest_first.position(|recent| *recent == object).map(Depth)
    }

    pub(super) fn insert(&mut self, object: ObjectKey) {
        self.remove(object);
        self.objects.push_back(object);
        if self.objects.len() > KEPT_MAX {
            self.objects.pop_front();
        }
    }

    pub(super) fn remove(&mut self, object: ObjectKey) {
        self.objects.retain(|recent| *recent != object);
    }

    /// Returns the access that an object at a depth surely is, whatever the upstream keeps.
    pub(super) fn certain_access(depth: Option<Depth>) -> Option<ObjectAccess> {
        match depth {
            None => Some(ObjectAccess::First),
            Some(Depth(depth)) if depth < KEPT_MIN => Some(ObjectAccess::Repeated),
            Some(_) => None,
        }
    }

    /// Learns from the service time of an access to an object at a depth, given the mean times of
    /// first and repeated accesses of its kind. Returns which of them it was, if that can be told.
    pub(super) fn learn(
        &mut self,
        depth: Depth,
        time: Duration,
        first: Duration,
        repeated: Duration,
    ) -> Option<ObjectAccess> {
        if first < repeated.mul_f64(DISTINCT_RATIO) || time > first.mul_f64(SLOW_FACTOR) {
            return None;
        }
        let was_kept = time < (first + repeated) / 2;
        if was_kept && !self.is_kept(depth) {
            self.kept = (self.kept + STEP_UP).min(KEPT_MAX as f64);
        } else if !was_kept && self.is_kept(depth) {
            self.kept = (self.kept - STEP_DOWN).max(KEPT_MIN as f64);
        }
        Some(if was_kept {
            ObjectAccess::Repeated
        } else {
            ObjectAccess::First
        })
    }

    fn is_kept(&self, depth: Depth) -> bool {
        (depth.0 as f64) < self.kept
    }
}
