//! Which objects came to an upstream for the first time, and which moved.

use std::collections::{
    HashMap,
    HashSet, //
};

/// How an object came to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// The upstream served it before.
    Known,
    /// No upstream is known to have served it.
    First,
    /// Another upstream served it before, this one did not.
    Moved,
}

/// The upstreams that served each object, as far as lines tell.
#[derive(Debug, Default)]
pub(super) struct ObjectHistory {
    upstreams: HashMap<(String, String), HashSet<String>>,
}

impl ObjectHistory {
    /// Takes in that an upstream served an object of a service.
    pub(super) fn record_service(
        &mut self,
        service: &str,
        object: &str,
        upstream: &str,
    ) -> Arrival {
        let key = (service.to_owned(), object.to_owned());
        let upstreams = self.upstreams.entry(key).or_default();
        let is_first = upstreams.is_empty();
        match (upstreams.insert(upstream.to_owned()), is_first) {
            (false, _) => Arrival::Known,
            (true, true) => Arrival::First,
            (true, false) => Arrival::Moved,
        }
    }
}
