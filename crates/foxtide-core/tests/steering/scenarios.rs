//! Tests that caps and limits hold in seeded scenarios.

use super::fixture::OrganisationOptions;
use super::fleet::Fleet;
use super::scenario::{
    Event,
    Scenario, //
};
use super::tally::Tally;
use foxtide_core::steering::{
    Steering,
    SteeringOptions, //
};
use std::time::Duration;

/// Seeds that exposed faults, each with its cause.
const REGRESSION_SEEDS: [(u64, &str); 11] = [
    (4, "an instance adopted rows of origins that serve others"),
    (
        47,
        "an instance adopted another origin's rows after a pause",
    ),
    (123, "instances of one origin spilled differently"),
    (
        143,
        "a region recovered while partitioned and started at its target",
    ),
    (182, "a region recovered while all reports were lost"),
    (193, "a region recovered while partitioned and reconfigured"),
    (
        230,
        "an instance adopted a stale row for callers that others served",
    ),
    (
        352,
        "partitioned instances were no longer returned by look-ups",
    ),
    (381, "new instances adopted the rows of dead ones"),
    (595, "an instance guessed the row of an unknown origin"),
    (
        975,
        "an instance without contact to its peers guessed their row",
    ),
];

/// The number of scenarios in each of the two tests with random scenarios.
const SCENARIOS: u64 = 12;

/// The number of scenarios run with faulty options.
const BROKEN_SCENARIOS: u64 = 12;

fn run(seed: u64, options: SteeringOptions) -> Tally {
    Fleet::<Steering>::run(Scenario::random(seed), options)
}

fn assert_promises(seed: u64, tally: &Tally) {
    assert_eq!(
        tally.steps_over_cap, 0,
        "seed {seed}: {:.3} of the cap",
        tally.fastest_of_cap
    );
    assert_eq!(
        tally.seconds_over_region, 0,
        "seed {seed}: {:.3}",
        tally.fullest_region
    );
    assert_eq!(tally.seconds_over_link, 0, "seed {seed}");
    assert_eq!(tally.steps_over_spill, 0, "seed {seed}");
}

#[test]
fn verify_promises_hold_in_random_scenarios() {
    for seed in 0..SCENARIOS {
        assert_promises(seed, &run(seed, SteeringOptions::default()));
    }
}

#[test]
fn verify_promises_hold_in_more_random_scenarios() {
    for seed in SCENARIOS..2 * SCENARIOS {
        assert_promises(seed, &run(seed, SteeringOptions::default()));
    }
}

#[test]
fn verify_promises_hold_for_regression_seeds() {
    for (seed, _) in REGRESSION_SEEDS {
        assert_promises(seed, &run(seed, SteeringOptions::default()));
    }
}

/// Runs scenarios with faulty options and returns the number of violations.
fn violations(options: &SteeringOptions, count: impl Fn(&Tally) -> u64) -> u64 {
    let seeds = 0..BROKEN_SCENARIOS;
    seeds.map(|seed| count(&run(seed, options.clone()))).sum()
}

#[test]
fn verify_a_broken_cap_is_noticed() {
    let options = SteeringOptions {
        shift_cap_factor: 2.0,
        ..SteeringOptions::default()
    };
    assert!(violations(&options, |tally| tally.steps_over_cap) > 0);
}

#[test]
fn verify_a_broken_limit_is_noticed() {
    let options = SteeringOptions {
        sold_rate_factor: 1.5,
        ..SteeringOptions::default()
    };
    assert!(violations(&options, |tally| tally.seconds_over_region) > 0);
}

#[test]
fn verify_claims_that_grow_at_once_are_noticed() {
    let options = SteeringOptions {
        growth_window: Duration::ZERO,
        ..SteeringOptions::default()
    };
    assert!(violations(&options, |tally| tally.seconds_over_region) > 0);
}

/// Returns a scenario in which one region's demand exceeds its sold rate.
fn overloaded_region() -> Scenario {
    let mut scenario = Scenario::quiet(1, OrganisationOptions::default(), 80.0);
    scenario.demand_rps[0] = [180.0, 180.0];
    scenario
}

#[test]
fn verify_spill_uses_free_capacity_within_its_limit() {
    let tally = Fleet::<Steering>::run(overloaded_region(), SteeringOptions::default());
    assert_promises(1, &tally);
    let spilled: u64 = tally.services.iter().map(|counts| counts.spilled).sum();
    let asked: u64 = tally.services.iter().map(|counts| counts.asked).sum();
    let share = spilled as f64 / asked as f64;
    assert!(share > 0.05, "{share}");
}

/// Returns a scenario in which a region with free capacity is partitioned from
/// two that spill into it, without the platform's list and past the report hold.
fn long_partition() -> Scenario {
    let options = OrganisationOptions {
        region_rps: 150.0,
        spill_limit_share: 0.5,
        ..OrganisationOptions::default()
    };
    let mut scenario = Scenario::quiet(3, options, 260.0);
    scenario.demand_rps[0] = [60.0, 60.0];
    scenario.platform_list = false;
    scenario.at(30_000, Event::Partition(0, true));
    scenario.at(55_000, Event::Burst(0, 2.0));
    scenario
}

#[test]
fn verify_a_long_partition_does_not_exceed_sold_rates() {
    let tally = Fleet::<Steering>::run(long_partition(), SteeringOptions::default());
    assert_promises(3, &tally);
}

#[test]
fn verify_forgetting_a_lost_region_is_noticed() {
    let options = SteeringOptions {
        lost_region_hold: Duration::ZERO,
        ..SteeringOptions::default()
    };
    let tally = Fleet::<Steering>::run(long_partition(), options);
    assert!(tally.seconds_over_region > 0, "{}", tally.fullest_region);
}

#[test]
fn verify_a_broken_spill_limit_is_noticed() {
    let mut scenario = overloaded_region();
    scenario.options.spill_limit_share = 0.02;
    let tally = Fleet::<Steering>::run(scenario, SteeringOptions::default());
    assert!(tally.steps_over_spill > 0);
}
