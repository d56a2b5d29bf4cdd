//! Load scenarios simulated with the decisions of `foxtide-core`.

use foxtide_testing::load_model::{
    Cause,
    CoordinatorFault,
    CoordinatorFaultKind,
    LoadError,
    LoadOutcome,
    LoadSettings,
    UpstreamFault,
    UpstreamFaultKind,
    simulate, //
};
use std::path::Path;

const SEEDS: [u64; 3] = [1, 2, 3];

fn simulate_seeds(settings: &LoadSettings) -> Vec<LoadOutcome> {
    SEEDS.iter().map(|&seed| simulate(settings, seed)).collect()
}

fn mean_worth(outcomes: &[LoadOutcome]) -> f64 {
    outcomes.iter().map(LoadOutcome::mean_worth).sum::<f64>() / outcomes.len() as f64
}

fn worth(settings: &LoadSettings) -> f64 {
    mean_worth(&simulate_seeds(settings))
}

fn uncoordinated(settings: &LoadSettings) -> LoadSettings {
    LoadSettings {
        is_coordinated: false,
        ..settings.clone()
    }
}

fn load(name: &str) -> LoadSettings {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("loads");
    LoadSettings::load(&directory.join(name)).unwrap()
}

fn high() -> LoadSettings {
    load("high.jsonc")
}

fn sum_of(outcomes: &[LoadOutcome], cause: Cause) -> u64 {
    let of_one = |outcome: &LoadOutcome| outcome.causes.get(&cause).copied().unwrap_or(0);
    outcomes.iter().map(of_one).sum()
}

#[test]
fn verify_the_same_seed_gives_the_same_outcome() {
    let settings = high();
    assert_eq!(simulate(&settings, 7), simulate(&settings, 7));
}

/// Guards against queues so long that every request in them is late, as arise under
/// overload without coordination.
#[test]
fn verify_full_queues_are_kept_short_by_coordination() {
    let settings = high();
    let (before, after) = (
        simulate_seeds(&uncoordinated(&settings)),
        simulate_seeds(&settings),
    );
    let (worth_before, worth_after) = (mean_worth(&before), mean_worth(&after));
    assert!(
        worth_after > worth_before + 0.08,
        "{worth_before:.3} -> {worth_after:.3}"
    );
    let cut = sum_of(&before, Cause::Cut);
    assert!(sum_of(&after, Cause::Cut) * 3 < cut);
    let arrivals = |outcomes: &[LoadOutcome]| outcomes.iter().map(|one| one.arrivals).sum::<u64>();
    assert!(arrivals(&after) < arrivals(&before));
}

/// Guards against queues that persist after a cold start, where processing an uncached
/// object takes longer than the objective.
#[test]
fn verify_a_start_with_unknown_objects_is_over_in_seconds() {
    let settings = LoadSettings {
        length_s: 12.0,
        ..LoadSettings::default()
    };
    let (before, after) = (
        simulate_seeds(&uncoordinated(&settings)),
        simulate_seeds(&settings),
    );
    let from_third = |outcomes: &[LoadOutcome]| {
        let windows = outcomes.iter().flat_map(|one| &one.windows[2..]);
        let sums = windows.fold((0.0, 0), |sum, window| {
            (sum.0 + window.worth, sum.1 + window.asked)
        });
        sums.0 / sums.1 as f64
    };
    assert!(from_third(&after) > from_third(&before) + 0.1);
    assert!(from_third(&after) > 0.8, "{:.3}", from_third(&after));
}

/// Guards against losses in a region with two of 18 upstreams and a third of the requests.
#[test]
fn verify_a_region_short_of_upstreams_is_served_by_the_others() {
    let mut settings = LoadSettings {
        length_s: 40.0,
        ..LoadSettings::default()
    };
    let even = {
        let mut even = settings.clone();
        for region in &mut even.regions {
            region.upstreams = 6;
        }
        worth(&even)
    };
    let short = worth(&settings);
    assert!(short > even - 0.06, "{short:.3} against {even:.3}");
    for region in &mut settings.regions {
        region.rate_rps *= 1.3;
    }
    assert!(worth(&settings) > worth(&uncoordinated(&settings)));
}

/// Guards against retries that move a region's traffic back to it by more than 15 % in 2 s
/// when one of its upstreams refuses requests.
#[test]
fn verify_callers_who_come_back_move_no_regions_traffic() {
    verify_traffic_stays(&load("small-region.jsonc"));
}

/// Guards against the same shift when the whole region lacks capacity at its peak.
#[test]
fn verify_a_region_short_as_a_whole_moves_none_of_its_traffic() {
    verify_traffic_stays(&small_region_at_peak());
}

/// Returns the small region's load with its rate raised by half.
fn small_region_at_peak() -> LoadSettings {
    let mut settings = load("small-region.jsonc");
    settings.regions[1].rate_rps *= 1.5;
    settings
}

/// Pools twelve seeds per check, as a single one has too few requests.
fn verify_traffic_stays(settings: &LoadSettings) {
    for first in [1, 101, 201] {
        let seeds = first..first + 12;
        let outcomes: Vec<LoadOutcome> = seeds.map(|seed| simulate(settings, seed)).collect();
        let refused = sum_of(&outcomes, Cause::RefusedNoSlot);
        let together = LoadOutcome {
            served: outcomes.into_iter().flat_map(|one| one.served).collect(),
            ..LoadOutcome::default()
        };
        let shift = together.largest_shift(settings.length_s - 4.0, 25);
        assert!(shift.share <= 0.15, "{first}: {shift:?}, refused {refused}");
    }
}

/// Guards against refusals in a region short of capacity while other regions have free
/// slots, and against overflow that lowers the overall worth.
#[test]
fn verify_a_short_region_refuses_less_where_it_may_send_elsewhere() {
    let settings = small_region_at_peak();
    let without = simulate_seeds(&LoadSettings {
        may_overflow: false,
        ..settings.clone()
    });
    let with = simulate_seeds(&settings);
    let refused = |outcomes: &[LoadOutcome]| sum_of(outcomes, Cause::RefusedNoSlot);
    let (before, after) = (refused(&without), refused(&with));
    assert!(after * 2 <= before, "{before} -> {after}");
    let (before, after) = (mean_worth(&without), mean_worth(&with));
    assert!(after >= before, "{before:.3} -> {after:.3}");
}

/// Guards against overload when 30 % of the callers retry after 5 ms, up to three times.
#[test]
fn verify_callers_who_retry_at_once_cause_no_overload() {
    let settings = LoadSettings {
        impatient_share: 0.3,
        ..high()
    };
    let (before, after) = (worth(&uncoordinated(&settings)), worth(&settings));
    assert!(after > before + 0.05, "{before:.3} -> {after:.3}");
    assert!(after > worth(&high()) - 0.05);
}

/// Guards against worse results than without coordination when upstreams refuse at random.
#[test]
fn verify_a_service_that_turns_requests_away_is_not_scattered() {
    let settings = LoadSettings {
        upstream_faults: vec![UpstreamFault {
            at_s: 10.0,
            for_s: 8.0,
            share: 1.0,
            from: 0.0,
            kind: UpstreamFaultKind::Refusing(0.55),
        }],
        ..LoadSettings::default()
    };
    assert!(worth(&settings) > worth(&uncoordinated(&settings)));
}

fn with_faults(kind: CoordinatorFaultKind, instances: usize) -> LoadSettings {
    let fault = |instance: usize| CoordinatorFault {
        at_s: 10.0 + instance as f64,
        for_s: 5.0,
        instance,
        kind,
    };
    LoadSettings {
        coordinator_faults: (0..instances).map(fault).collect(),
        length_s: 30.0,
        ..LoadSettings::default()
    }
}

/// Guards against coordinator faults that block requests or make coordination worse than
/// none.
#[test]
fn verify_coordinators_that_fail_cost_little() {
    let well = worth(&with_faults(CoordinatorFaultKind::Killed, 0));
    let without = worth(&uncoordinated(&with_faults(
        CoordinatorFaultKind::Killed,
        0,
    )));
    for kind in [
        CoordinatorFaultKind::Killed,
        CoordinatorFaultKind::Paused,
        CoordinatorFaultKind::Mute,
        CoordinatorFaultKind::DoublyBelieved,
    ] {
        let faulty = worth(&with_faults(kind, 4));
        assert!(faulty > well - 0.06, "{kind:?}: {faulty:.3} of {well:.3}");
        assert!(faulty > without, "{kind:?}: {faulty:.3} of {without:.3}");
    }
}

#[test]
fn verify_wrong_loads_name_file_field_and_valid_values() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let error_of = |name: &str, text: &str| {
        let path = directory.join(name);
        std::fs::write(&path, text).unwrap();
        let error: LoadError = LoadSettings::load(&path).unwrap_err();
        error.to_string()
    };
    let error = error_of("share.jsonc", "{ \"known_part\": 2 } // too much");
    assert!(error.ends_with("known_part: 2; valid: 0 to 1"), "{error}");
    let error = error_of("unknown.jsonc", "{ \"work\": 2 }");
    assert!(error.contains("unknown field `work`"), "{error}");
    let error = error_of("regions.jsonc", "{ \"regions\": [] }");
    assert!(
        error.contains("regions: 0 regions, 0 upstreams; valid: "),
        "{error}"
    );
}
