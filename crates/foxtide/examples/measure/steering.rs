//! Measures steering decisions in simulated fleets and compares them with
//! simpler baselines.

#[path = "steering/baselines.rs"]
mod baselines;
#[path = "steering/costs.rs"]
mod costs;
#[path = "../../../foxtide-core/tests/steering/decider.rs"]
mod decider;
#[path = "../../../foxtide-core/tests/steering/fixture.rs"]
mod fixture;
#[path = "../../../foxtide-core/tests/steering/fleet.rs"]
mod fleet;
#[path = "../../../foxtide-core/tests/steering/node.rs"]
mod node;
#[path = "../../../foxtide-core/tests/steering/poisson.rs"]
mod poisson;
#[path = "../../../foxtide-core/tests/steering/scenario.rs"]
mod scenario;
#[path = "../../../foxtide-core/tests/steering/tally.rs"]
mod tally;

use crate::report::{
    Limit,
    Report, //
};
use baselines::{
    EvenSplit,
    TwoChoices, //
};
use decider::Decider;
use fixture::{
    OrganisationOptions,
    REGIONS, //
};
use fleet::Fleet;
use foxtide_core::steering::{
    Steering,
    SteeringOptions, //
};
use scenario::{
    Event,
    Scenario, //
};
use tally::{
    ServiceTally,
    Tally, //
};

/// The number of random scenarios for [`Steering`].
const SCENARIOS: u64 = 1_000;

/// The number of these scenarios for each baseline.
const BASELINE_SCENARIOS: u64 = 100;

const THREADS: u64 = 4;

pub(crate) fn run(report: &mut Report) {
    count_violations::<Steering>(report, "steering", SCENARIOS, Limit::AtMost(0.0));
    count_violations::<EvenSplit>(report, "even_split", BASELINE_SCENARIOS, Limit::None);
    count_violations::<TwoChoices>(report, "two_choices", BASELINE_SCENARIOS, Limit::None);
    measure_served_share(report);
    measure_region_loss(report);
    costs::run(report);
}

/// Reports the limit violations over random scenarios.
fn count_violations<D: Decider>(report: &mut Report, name: &str, scenarios: u64, limit: Limit) {
    let tallies = run_all::<D>(scenarios);
    let sum = |count: fn(&Tally) -> u64| tallies.iter().map(count).sum::<u64>() as f64;
    let max = |figure: fn(&Tally) -> f64| tallies.iter().map(figure).fold(0.0, f64::max);
    let mut figure = |what: &str, value: f64, unit: &str, limit: Limit| {
        report.figure(&format!("{name}.{what}"), value, unit, limit);
    };
    figure("scenarios", tallies.len() as f64, "", Limit::None);
    figure("steps_over_cap", sum(|t| t.steps_over_cap), "steps", limit);
    figure(
        "seconds_over_region",
        sum(|t| t.seconds_over_region),
        "s",
        limit,
    );
    figure(
        "seconds_over_link",
        sum(|t| t.seconds_over_link),
        "s",
        limit,
    );
    figure(
        "steps_over_spill",
        sum(|t| t.steps_over_spill),
        "steps",
        limit,
    );
    figure(
        "fastest_of_cap_in_10s",
        max(|t| t.fastest_of_cap),
        "x cap",
        Limit::None,
    );
    figure(
        "fastest_of_cap_in_1s",
        max(|t| t.fastest_second_of_cap),
        "x cap",
        Limit::None,
    );
    figure(
        "fullest_region",
        max(|t| t.fullest_region),
        "x sold",
        Limit::None,
    );
    let asked = sum(|t| t.services.iter().map(|s| s.asked).sum());
    let served = sum(|t| t.services.iter().map(|s| s.served).sum());
    figure("served", served / asked, "of asked", Limit::None);
}

fn run_all<D: Decider>(scenarios: u64) -> Vec<Tally> {
    let run_seeds = |thread: u64| {
        let seeds = (thread..scenarios).step_by(THREADS as usize);
        let run = |seed| Fleet::<D>::run(Scenario::random(seed), SteeringOptions::default());
        seeds.map(run).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|t| scope.spawn(move || run_seeds(t)))
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results
            .flat_map(|result| result.expect("a scenario does not panic"))
            .collect()
    })
}

/// The distribution of the load among regions and instances.
struct Load {
    name: &'static str,
    /// The demand of each region's callers, as a share of its sold rate.
    regions: [f64; REGIONS.len()],
    /// The weight of each region's first instance; its others have weight 1.
    first_weight: f64,
}

const LOADS: [Load; 6] = [
    load("even_60", [0.6; 3], 1.0),
    load("even_90", [0.9; 3], 1.0),
    load("even_120", [1.2; 3], 1.0),
    load("one_instance_takes_most_90", [0.9; 3], 8.0),
    load("one_region_180_others_30", [1.8, 0.3, 0.3], 1.0),
    load("one_region_120_others_60", [1.2, 0.6, 0.6], 1.0),
];

const fn load(name: &'static str, regions: [f64; REGIONS.len()], first_weight: f64) -> Load {
    Load {
        name,
        regions,
        first_weight,
    }
}

/// Reports the requests served, as a share of those that the limits allow.
fn measure_served_share(report: &mut Report) {
    for load in &LOADS {
        for priority in ["latency", "headroom"] {
            let steering = served_of_possible::<Steering>(load, priority);
            let name = format!("use.{}.{priority}", load.name);
            report.figure(&name, steering, "of possible", Limit::None);
        }
        let even_split = served_of_possible::<EvenSplit>(load, "headroom");
        let name = format!("use.{}.even_split", load.name);
        report.figure(&name, even_split, "of possible", Limit::None);
    }
}

/// Returns the requests served, as a share of those that the demand, the sold
/// rates and the spill-over limit allow.
fn served_of_possible<D: Decider>(load: &Load, priority: &'static str) -> f64 {
    let options = OrganisationOptions {
        priority,
        ..OrganisationOptions::default()
    };
    let (sold, spill) = (options.region_rps, options.spill_limit_share);
    let mut scenario = Scenario::quiet(7, options, 0.0);
    for (demand, part) in scenario.demand_rps.iter_mut().zip(load.regions) {
        *demand = [part * sold / demand.len() as f64; 2];
    }
    for node in 0..scenario::NODES {
        let first = [0, 4, 7].contains(&node);
        let weight = if first { load.first_weight } else { 1.0 };
        scenario.at(0, Event::Skew(node, weight));
    }
    let length_s = (scenario.length_ms - tally::WARM_UP_MS) as f64 / 1_000.0;
    let tally = Fleet::<D>::run(scenario, SteeringOptions::default());
    let excess: f64 = load
        .regions
        .iter()
        .map(|part| (part - 1.0).max(0.0).min(part * spill))
        .sum();
    let free: f64 = load.regions.iter().map(|part| (1.0 - part).max(0.0)).sum();
    let served_at_home: f64 = load.regions.iter().map(|part| part.min(1.0)).sum();
    let possible = (served_at_home + excess.min(free)) * sold * length_s;
    total(&tally, |service| service.served) / possible
}

fn total(tally: &Tally, count: fn(&ServiceTally) -> u64) -> f64 {
    tally.services.iter().map(count).sum::<u64>() as f64
}

/// Reports how long it takes until the callers of a failed region are served
/// again.
fn measure_region_loss(report: &mut Report) {
    const LOSS_AT_MS: u64 = 30_000;
    for cap in [0.02, 0.05] {
        let options = OrganisationOptions {
            shift_cap_share_per_s: cap,
            ..OrganisationOptions::default()
        };
        let mut scenario = Scenario::quiet(11, options, 120.0);
        scenario.at(LOSS_AT_MS, Event::Health(0, false));
        let name = format!("lost_region.cap_{cap}");
        let steering = Fleet::<Steering>::run(scenario.clone(), SteeringOptions::default());
        let even_split = Fleet::<EvenSplit>::run(scenario, SteeringOptions::default());
        let mut figure = |what: &str, value: f64, unit: &str| {
            report.figure(&format!("{name}.{what}"), value, unit, Limit::None);
        };
        figure("until_served", steering.recovered_after_s(LOSS_AT_MS), "s");
        figure(
            "until_served_even_split",
            even_split.recovered_after_s(LOSS_AT_MS),
            "s",
        );
        figure("until_served_at_fleet_cap", 1.0 / 6.0 / cap, "s");
        figure("fastest_of_cap", steering.fastest_of_cap, "x cap");
        figure(
            "fastest_of_cap_even_split",
            even_split.fastest_of_cap,
            "x cap",
        );
    }
}
