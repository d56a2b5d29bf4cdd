//! Every order of events in a small world, and random orders in a larger one.

mod idempotency_model;

use idempotency_model::{
    Bounds,
    Mistake,
    Step,
    Violation,
    World, //
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

/// Two instances, one key, three copies, a death and two clock jumps.
const SMALL: Bounds = Bounds {
    instances: 2,
    keys: 1,
    copies: 3,
    restarts: 1,
    jumps: 2,
    keys_max: 8,
    jump_s: BEYOND_VALIDITY_S,
};

/// Two keys in a table that has room for one, and a clock jump after which a
/// full table makes room.
const CROWDED: Bounds = Bounds {
    keys: 2,
    keys_max: 1,
    jumps: 1,
    jump_s: BEYOND_VALIDITY_MIN_S,
    restarts: 0,
    ..SMALL
};

/// Too large for every order to be tried.
const LARGE: Bounds = Bounds {
    instances: 3,
    keys: 3,
    copies: 12,
    restarts: 3,
    jumps: 4,
    keys_max: 2,
    jump_s: BEYOND_VALIDITY_MIN_S,
};

fn replay(bounds: Bounds, mistake: Mistake, path: &[Step]) -> World {
    let mut world = World::new(bounds, mistake);
    for step in path {
        world.take(*step);
    }
    world
}

/// Visits all states that can be reached, the nearest first, until `visit`
/// returns something. Returns how many states there were, and that.
fn explore<T>(
    bounds: Bounds,
    mistake: Mistake,
    visit: impl Fn(&World, &[Step]) -> Option<T>,
) -> (usize, Option<T>) {
    let mut seen = HashSet::new();
    let mut paths = VecDeque::from([Vec::new()]);
    while let Some(path) = paths.pop_front() {
        let world = replay(bounds, mistake, &path);
        if !seen.insert(xxh3_128(format!("{world:?}").as_bytes())) {
            continue;
        }
        if let Some(found) = visit(&world, &path) {
            return (seen.len(), Some(found));
        }
        for step in world.steps() {
            let mut longer = path.clone();
            longer.push(step);
            paths.push_back(longer);
        }
    }
    (seen.len(), None)
}

fn assert_holds(bounds: Bounds, states_min: usize) {
    let (states, violation) = explore(bounds, Mistake::None, |world, path| {
        let violation = world.violations.first();
        violation.map(|violation| (*violation, path.to_vec()))
    });
    assert_eq!(violation, None);
    println!("{states} states");
    assert!(states >= states_min, "{states} states");
}

fn assert_found(bounds: Bounds, mistake: Mistake, expected: Violation) {
    let (states, path) = explore(bounds, mistake, |world, path| {
        let found = world.violations.contains(&expected);
        found.then(|| path.to_vec())
    });
    println!("{mistake:?}: {path:?} after {states} states");
    assert!(path.is_some(), "{mistake:?} goes unnoticed");
}

#[test]
fn verify_every_order_with_a_death_and_clock_jumps() {
    assert_holds(SMALL, 10_000);
}

#[test]
fn verify_every_order_in_a_full_table() {
    assert_holds(CROWDED, 10_000);
}

#[test]
fn verify_affinity_alone_is_found_wanting() {
    assert_found(SMALL, Mistake::AnyInstanceRuns, Violation::DoubledRun);
}

#[test]
fn verify_a_reused_process_name_is_found() {
    assert_found(SMALL, Mistake::SameNameAfterRestart, Violation::DoubledRun);
}

#[test]
fn verify_forgetting_when_full_is_found() {
    assert_found(CROWDED, Mistake::ForgetsWhenFull, Violation::DoubledRun);
}

#[test]
fn verify_forgetting_without_a_bound_is_found() {
    assert_found(SMALL, Mistake::ForgetsWithoutBound, Violation::DoubledRun);
}

#[test]
fn verify_a_resent_request_is_found() {
    assert_found(SMALL, Mistake::ResendsAfterWrite, Violation::DoubledRun);
}

#[test]
fn verify_a_false_not_run_is_found() {
    let expected = Violation::FalseNotRun;
    assert_found(SMALL, Mistake::WriteNotNoted, expected);
    assert_found(SMALL, Mistake::OwnerGoneIsNotRun, expected);
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
        let mut world = World::new(LARGE, Mistake::None);
        let mut path = Vec::new();
        for choice in choices {
            let steps = world.steps();
            if steps.is_empty() {
                break;
            }
            let step = steps[choice.index(steps.len())];
            path.push(step);
            world.take(step);
            prop_assert_eq!(&world.violations, &[], "{:?}", path);
        }
    }
}
