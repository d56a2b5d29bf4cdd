//! Model checking of the idempotency table: every order of events in a small model and random
//! orders in a larger one.

mod idempotency_model;

use idempotency_model::{
    Bounds,
    InjectedBug,
    Model,
    Step,
    Violation, //
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{
    HashSet,
    VecDeque, //
};
use xxhash_rust::xxh3::xxh3_128;

const BEYOND_VALIDITY_S: u64 = 301;
const BEYOND_VALIDITY_MIN_S: u64 = 61;

/// Two instances, one key, three copies, one restart and two clock jumps.
const SMALL: Bounds = Bounds {
    instances: 2,
    keys: 1,
    copies: 3,
    restarts: 1,
    jumps: 2,
    keys_max: 8,
    jump_s: BEYOND_VALIDITY_S,
};

/// Two keys in a table of size one, with a clock jump beyond the minimum validity.
const CROWDED: Bounds = Bounds {
    keys: 2,
    keys_max: 1,
    jumps: 1,
    jump_s: BEYOND_VALIDITY_MIN_S,
    restarts: 0,
    ..SMALL
};

/// A model too large to explore completely.
const LARGE: Bounds = Bounds {
    instances: 3,
    keys: 3,
    copies: 12,
    restarts: 3,
    jumps: 4,
    keys_max: 2,
    jump_s: BEYOND_VALIDITY_MIN_S,
};

fn replay(bounds: Bounds, bug: InjectedBug, path: &[Step]) -> Model {
    let mut model = Model::new(bounds, bug);
    for step in path {
        model.take(*step);
    }
    model
}

/// Visits all reachable states in breadth-first order until `visit` returns a value.
/// Returns the number of states and that value.
fn explore<T>(
    bounds: Bounds,
    bug: InjectedBug,
    visit: impl Fn(&Model, &[Step]) -> Option<T>,
) -> (usize, Option<T>) {
    let mut seen = HashSet::new();
    let mut paths = VecDeque::from([Vec::new()]);
    while let Some(path) = paths.pop_front() {
        let model = replay(bounds, bug, &path);
        if !seen.insert(xxh3_128(format!("{model:?}").as_bytes())) {
            continue;
        }
        if let Some(found) = visit(&model, &path) {
            return (seen.len(), Some(found));
        }
        for step in model.steps() {
            let mut next = path.clone();
            next.push(step);
            paths.push_back(next);
        }
    }
    (seen.len(), None)
}

fn assert_holds(bounds: Bounds, states_min: usize) {
    let (states, violation) = explore(bounds, InjectedBug::None, |model, path| {
        let violation = model.violations.first();
        violation.map(|violation| (*violation, path.to_vec()))
    });
    assert_eq!(violation, None);
    println!("{states} states");
    assert!(states >= states_min, "{states} states");
}

fn assert_detected(bounds: Bounds, bug: InjectedBug, expected: Violation) {
    let (states, path) = explore(bounds, bug, |model, path| {
        let found = model.violations.contains(&expected);
        found.then(|| path.to_vec())
    });
    println!("{bug:?}: {path:?} after {states} states");
    assert!(path.is_some(), "{bug:?} is not detected");
}

#[test]
fn verify_every_order_with_a_restart_and_clock_jumps() {
    assert_holds(SMALL, 10_000);
}

#[test]
fn verify_every_order_in_a_full_table() {
    assert_holds(CROWDED, 10_000);
}

#[test]
fn verify_affinity_without_ownership_is_detected() {
    assert_detected(SMALL, InjectedBug::AnyInstanceRuns, Violation::RanTwice);
}

#[test]
fn verify_a_reused_process_name_is_detected() {
    assert_detected(
        SMALL,
        InjectedBug::SameNameAfterRestart,
        Violation::RanTwice,
    );
}

#[test]
fn verify_dropping_keys_of_a_full_table_is_detected() {
    assert_detected(CROWDED, InjectedBug::DropsKeysWhenFull, Violation::RanTwice);
}

#[test]
fn verify_dropping_expired_keys_is_detected() {
    assert_detected(SMALL, InjectedBug::DropsExpiredKeys, Violation::RanTwice);
}

#[test]
fn verify_a_resent_request_is_detected() {
    assert_detected(SMALL, InjectedBug::ResendsAfterWrite, Violation::RanTwice);
}

#[test]
fn verify_a_false_not_run_is_detected() {
    let expected = Violation::FalseNotRun;
    assert_detected(SMALL, InjectedBug::WriteNotRecorded, expected);
    assert_detected(SMALL, InjectedBug::OwnerGoneIsNotRun, expected);
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(6_007),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn verify_random_orders(choices in prop::collection::vec(any::<prop::sample::Index>(), 1..120)) {
        let mut model = Model::new(LARGE, InjectedBug::None);
        let mut path = Vec::new();
        for choice in choices {
            let steps = model.steps();
            if steps.is_empty() {
                break;
            }
            let step = steps[choice.index(steps.len())];
            path.push(step);
            model.take(step);
            prop_assert_eq!(&model.violations, &[], "{:?}", path);
        }
    }
}
