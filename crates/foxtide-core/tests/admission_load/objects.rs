//! How many objects an upstream keeps, learned from the times of repeated accesses.

use crate::support::{
    SLOTS,
    at,
    is_granted,
    object,
    request,
    serve, //
};
use foxtide_core::admission::{
    Coordinator,
    Patience,
    SlotRequest, //
};

const FIRST_MS: u64 = 360;
const REPEATED_MS: u64 = 108;

/// Objects that are requested in turn, so that each has the depth of all others.
const MANY: u64 = 24;

fn object_request(number: u64, key: u64) -> SlotRequest {
    SlotRequest {
        object: object(key),
        ..request(number, "catalogue")
    }
}

/// An upstream that keeps a number of objects, with its coordinator.
struct Upstream {
    coordinator: Coordinator,
    kept: usize,
    recent: Vec<u64>,
    requests: u64,
}

impl Upstream {
    fn new(kept: usize) -> Self {
        Self {
            coordinator: Coordinator::default(),
            kept,
            recent: Vec::new(),
            requests: 0,
        }
    }

    /// Serves a request for an object `slowness` times as slowly as usual.
    fn serve(&mut self, object: u64, slowness: u64) {
        let known = self.recent.iter().rev().take(self.kept);
        let service_ms = if known.into_iter().any(|recent| *recent == object) {
            REPEATED_MS
        } else {
            FIRST_MS
        };
        self.recent.retain(|recent| *recent != object);
        self.recent.push(object);
        self.requests += 1;
        let now_ms = self.requests * 10_000;
        let request = object_request(self.requests, object);
        serve(
            &mut self.coordinator,
            &request,
            now_ms,
            service_ms * slowness,
        );
    }

    /// Serves each object twice in a row, so that some accesses are surely repeated ones.
    fn serve_rounds(&mut self, rounds: u64) {
        for object in (0..rounds).flat_map(|_| 0..MANY) {
            self.serve(object, 1);
            self.serve(object, 1);
        }
    }

    /// Returns whether the coordinator expects the upstream to have the object: only then a
    /// request that does not wait gets the place beyond the slots.
    fn is_expected(&self, object: u64) -> bool {
        let mut coordinator = self.coordinator.clone();
        let now = at(self.requests * 10_000 + 5_000);
        for number in 0..u64::from(SLOTS) {
            coordinator.record_ungranted(&request(u64::MAX - number, "stock"), SLOTS, now);
        }
        let probe = SlotRequest {
            patience: Patience::NoWait,
            ..object_request(0, object)
        };
        is_granted(&coordinator.ask(&probe, SLOTS, now), 0)
    }
}

/// Guards against requests that are expected to be fast at an upstream that has dropped their
/// objects.
#[test]
fn verify_an_upstream_that_keeps_few_objects_is_found_out() {
    let mut upstream = Upstream::new(9);
    upstream.serve_rounds(2);
    assert!(upstream.is_expected(0));
    upstream.serve_rounds(8);
    assert!(!upstream.is_expected(0));
    // Object 23 is the newest; the last four are always expected.
    assert!(upstream.is_expected(MANY - 3));
}

/// Guards against first accesses that the coordinator expects where the upstream keeps more
/// objects than it did, or than others do.
#[test]
fn verify_an_upstream_that_keeps_more_objects_again_is_found_out() {
    let mut upstream = Upstream::new(9);
    upstream.serve_rounds(10);
    assert!(!upstream.is_expected(0));
    upstream.kept = 40;
    upstream.serve_rounds(2);
    assert!(upstream.is_expected(0));
}

/// Guards against objects that count as dropped after single slow accesses, or after a time in
/// which the whole upstream is slow.
#[test]
fn verify_slow_accesses_change_little() {
    let mut upstream = Upstream::new(40);
    upstream.serve_rounds(3);
    for object in 0..MANY {
        upstream.serve(object, if object % 12 == 0 { 3 } else { 1 });
    }
    assert!(upstream.is_expected(0));
    for object in 0..MANY {
        upstream.serve(object, 7);
    }
    assert!(upstream.is_expected(0));
}
