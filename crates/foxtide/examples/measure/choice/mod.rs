//! Choice of an upstream and retries, against simpler ways.

mod cost;
mod fleet;
mod in_use;
mod scenario;
mod upstream;
mod ways;

use crate::report::{
    Limit,
    Report, //
};
use fleet::Fleet;
use foxtide_core::organisation::Upstream;
use in_use::InUse;
use scenario::{
    Scenario,
    Summary, //
};
use std::time::Duration;
use upstream::UpstreamProfile;
use ways::{
    LeastInFlight,
    LeastLoadedFullView,
    RoundRobin,
    Simple,
    SlotCredits,
    Subset,
    TwoChoicesReported,
    Way, //
};

const SEEDS: u64 = 12;

/// Where an upstream queues as many requests as the stand-in does.
const QUEUEING: usize = 8;

/// Where an upstream refuses whatever finds no free slot.
const SHEDDING: usize = 0;

/// Twelve upstreams with 3 and 4 slots in turn.
fn profiles(queue: usize) -> Vec<UpstreamProfile> {
    let profile = |number: usize| UpstreamProfile {
        slots: 3 + number % 2,
        queue,
        ..UpstreamProfile::default()
    };
    (0..12).map(profile).collect()
}

fn scenario(load: f64, queue: usize) -> Scenario {
    Scenario {
        upstreams: profiles(queue),
        load,
        ..Scenario::default()
    }
}

/// Returns upstreams of these profiles as an organisation lists them.
fn listed(profiles: &[UpstreamProfile]) -> Vec<Upstream> {
    let upstream = |(number, profile): (usize, &UpstreamProfile)| Upstream {
        upstream: format!("viewer-{number}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000 + number as u16).into(),
        region: "khomas".parse().expect("a valid name"),
        availability_zone: "khomas-a".parse().expect("a valid name"),
        slots: profile.slots as u32,
        connections: 360,
    };
    profiles.iter().enumerate().map(upstream).collect()
}

/// Runs a scenario with several seeds and joins what came of it.
fn run_way<W: Way>(scenario: &Scenario) -> Summary {
    let mut joined = Summary::default();
    for seed in 0..SEEDS {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let upstreams = listed(&scenario.upstreams);
        joined.join(Fleet::<W>::run(scenario, &upstreams));
    }
    joined.goodput /= SEEDS as f64;
    joined
}

/// What a way is told to keep, beside being told.
#[derive(Clone, Copy, Debug)]
struct Limits {
    p99: Limit,
    given_up: Limit,
    goodput: Limit,
}

const TOLD: Limits = Limits {
    p99: Limit::None,
    given_up: Limit::None,
    goodput: Limit::None,
};

fn tell(report: &mut Report, name: &str, mut summary: Summary, limits: Limits) -> Summary {
    let p99_ms = summary.quantile_ms(0.99);
    report.figure(&format!("{name}.p99"), p99_ms, "ms", limits.p99);
    let given_up = summary.given_up_share();
    report.figure(
        &format!("{name}.given_up"),
        given_up,
        "share",
        limits.given_up,
    );
    let refused = summary.refused_share();
    report.figure(
        &format!("{name}.refusals"),
        refused,
        "/request",
        Limit::None,
    );
    let goodput = summary.goodput;
    report.figure(
        &format!("{name}.goodput"),
        goodput,
        "of capacity",
        limits.goodput,
    );
    summary
}

/// Tells the simpler ways; returns round robin and two choices.
fn tell_baselines(report: &mut Report, name: &str, scenario: &Scenario) -> [Summary; 2] {
    let mut tell_one = |way: &str, summary| tell(report, &format!("{name}.{way}"), summary, TOLD);
    let round_robin = tell_one("round_robin", run_way::<Simple<RoundRobin>>(scenario));
    let two = tell_one(
        "two_choices",
        run_way::<Simple<TwoChoicesReported>>(scenario),
    );
    tell_one(
        "least_in_flight",
        run_way::<Simple<LeastInFlight>>(scenario),
    );
    tell_one(
        "least_loaded",
        run_way::<Simple<LeastLoadedFullView>>(scenario),
    );
    tell_one("subset", run_way::<Simple<Subset>>(scenario));
    tell_one("slot_credits", run_way::<SlotCredits>(scenario));
    [round_robin, two]
}

/// Compares the ways at three loads where upstreams queue.
fn compare_queueing(report: &mut Report) {
    for (load, goodput) in [(0.6, 0.59), (0.9, 0.88), (1.2, 0.95)] {
        let scenario = scenario(load, QUEUEING);
        let name = format!("choice.queueing_{:.0}", load * 100.0);
        let mut simple = tell_baselines(report, &name, &scenario);
        let best_p99 = simple.each_mut().map(|summary| summary.quantile_ms(0.99));
        let best_given_up = simple.each_ref().map(Summary::given_up_share);
        let mut limits = Limits {
            goodput: Limit::AtLeast(goodput),
            ..TOLD
        };
        if load < 1.0 {
            limits.p99 = Limit::AtMost(best_p99[0].min(best_p99[1]));
            limits.given_up = Limit::AtMost(best_given_up[0].min(best_given_up[1]));
        }
        tell(
            report,
            &format!("{name}.in_use"),
            run_way::<InUse>(&scenario),
            limits,
        );
    }
}

/// Compares the ways where upstreams refuse whatever finds no free slot. The
/// simpler ways give up a quarter of the requests there, so that their
/// latencies are those of the lucky ones and bound nothing.
fn compare_shedding(report: &mut Report) {
    for load in [0.6, 0.9, 1.2] {
        let scenario = scenario(load, SHEDDING);
        let name = format!("choice.shedding_{:.0}", load * 100.0);
        let simple = tell_baselines(report, &name, &scenario);
        let given_up = simple.each_ref().map(Summary::given_up_share);
        let limits = Limits {
            given_up: Limit::AtMost(given_up[0].min(given_up[1])),
            ..TOLD
        };
        tell(
            report,
            &format!("{name}.in_use"),
            run_way::<InUse>(&scenario),
            limits,
        );
    }
}

/// Induces a fault at 80 % load and compares with round robin.
fn compare_fault(
    report: &mut Report,
    fault: &str,
    p99_limit: fn(f64) -> Limit,
    change: impl Fn(&mut Scenario),
) -> Summary {
    let mut scenario = scenario(0.8, QUEUEING);
    change(&mut scenario);
    let name = format!("choice.{fault}");
    let round_robin = run_way::<Simple<RoundRobin>>(&scenario);
    let mut round_robin = tell(report, &format!("{name}.round_robin"), round_robin, TOLD);
    let two = run_way::<Simple<TwoChoicesReported>>(&scenario);
    tell(report, &format!("{name}.two_choices"), two, TOLD);
    let limits = Limits {
        p99: p99_limit(round_robin.quantile_ms(0.99)),
        given_up: Limit::AtMost(round_robin.given_up_share()),
        goodput: Limit::AtLeast(round_robin.goodput * 0.99),
    };
    tell(
        report,
        &format!("{name}.in_use"),
        run_way::<InUse>(&scenario),
        limits,
    )
}

fn compare_faults(report: &mut Report) {
    compare_fault(report, "lying_idle", Limit::AtMost, |scenario| {
        for profile in &mut scenario.upstreams[..3] {
            profile.lie = Some(0.0);
        }
    });
    compare_fault(report, "lying_busy", Limit::AtMost, |scenario| {
        for profile in &mut scenario.upstreams[..3] {
            profile.lie = Some(3.0);
        }
    });
    compare_fault(report, "one_slow", Limit::AtMost, |scenario| {
        scenario.upstreams[0].run_mean *= 5;
    });
    // Bursts are the matter of services that put headroom first: requests wait
    // at the instance rather than being given up.
    compare_fault(
        report,
        "bursts",
        |_| Limit::None,
        |scenario| {
            scenario.load = 0.7;
            scenario.burst = 1.5;
        },
    );
    let dead = compare_fault(report, "one_dead", Limit::AtMost, |scenario| {
        scenario.upstreams[0].dies_at = Some(foxtide_core::time::MonotonicTime::from_ms(5_000));
    });
    let last_s = dead.last_to_dead.unwrap_or_default().as_secs_f64();
    let name = "choice.one_dead.last_request_after_death";
    report.figure(name, last_s, "s", Limit::AtMost(3.0));
}

/// Half of all answers are errors: retries must not multiply the load.
fn storm(report: &mut Report) {
    let mut scenario = scenario(0.6, QUEUEING);
    for profile in &mut scenario.upstreams {
        profile.error_share = 0.5;
    }
    let attempts = run_way::<InUse>(&scenario).attempts_per_request();
    let limit = Limit::AtMost(1.2);
    report.figure("retry.half_errors.attempts", attempts, "/request", limit);
}

/// Reads of a service that puts latency first are hedged, here where run times
/// have a long tail: exponential, 5 % above three times the mean.
fn hedging(report: &mut Report) {
    for load in [0.6, 0.9] {
        let plain = Scenario {
            fixed_run_share: 0.0,
            ..scenario(load, QUEUEING)
        };
        let hedged = Scenario {
            hedge_delay: Some(Duration::from_millis(60)),
            ..plain.clone()
        };
        let name = format!("retry.hedging_{:.0}", load * 100.0);
        let mut without = run_way::<InUse>(&plain);
        let without_ms = without.quantile_ms(0.99);
        let mut with = run_way::<InUse>(&hedged);
        report.figure(
            &format!("{name}.p99_without"),
            without_ms,
            "ms",
            Limit::None,
        );
        let p99_ms = with.quantile_ms(0.99);
        report.figure(
            &format!("{name}.p99"),
            p99_ms,
            "ms",
            Limit::AtMost(without_ms),
        );
        let attempts = with.attempts_per_request();
        let limit = Limit::AtMost(1.2);
        report.figure(&format!("{name}.attempts"), attempts, "/request", limit);
    }
}

/// Measures the choice of an upstream and retries.
pub(crate) fn run(report: &mut Report) {
    compare_queueing(report);
    compare_shedding(report);
    compare_faults(report);
    storm(report);
    hedging(report);
    cost::run(report);
}
