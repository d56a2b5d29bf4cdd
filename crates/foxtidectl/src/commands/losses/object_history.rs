//! Tracks which upstreams have served each object.

use std::collections::{
    HashMap,
    HashSet, //
};

/// Whether an upstream has served an object before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// The upstream has served it before.
    Known,
    /// No upstream has served it before.
    First,
    /// Only other upstreams have served it before.
    Moved,
}

/// The upstreams that served each object, according to the log lines.
#[derive(Debug, Default)]
pub(super) struct ObjectHistory {
    upstreams: HashMap<(String, String), HashSet<String>>,
}

impl ObjectHistory {
    /// Records that an upstream served an object and returns whether that is new.
    pub(super) fn record_service(
        &mut self,
        service: &str,
        object: &str,
        upstream: &str,
    ) -> Placement {
        let key = (service.to_owned(), object.to_owned());
        let upstreams = self.upstreams.entry(key).or_default();
        let is_first = upstreams.is_empty();
        match (upstreams.insert(upstream.to_owned()), is_first) {
            (false, _) => Placement::Known,
            (true, true) => Placement::First,
            (true, false) => Placement::Moved,
        }
    }
}
