//! Measures the choice of an upstream and retries in simulated fleets, and
//! compares the balancer with simpler policies.

mod balancer;
mod cost;
mod fleet;
mod policies;
mod scenario;
mod upstream;

use crate::report::{
    Limit,
    Report, //
};
use balancer::BalancerPolicy;
use fleet::Fleet;
use foxtide_core::organisation::Upstream;
use policies::{
    LeastInFlight,
    LeastLoadedFullView,
    Policy,
    RoundRobin,
    RulePolicy,
    SlotCredits,
    Subset,
    TwoChoicesReported, //
};
use scenario::{
    Scenario,
    Summary, //
};
use std::time::Duration;
use upstream::UpstreamProfile;

const SEEDS: u64 = 12;

/// The queue length of upstreams that queue requests.
const QUEUE_LENGTH: usize = 8;

/// The queue length of upstreams that reject requests when no slot is free.
const NO_QUEUE: usize = 0;

/// Returns twelve upstreams that alternate between 3 and 4 slots.
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

/// Returns the configuration of upstreams with these profiles.
fn configured_upstreams(profiles: &[UpstreamProfile]) -> Vec<Upstream> {
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

/// Runs a scenario with every seed and returns the merged summary.
fn run_policy<P: Policy>(scenario: &Scenario) -> Summary {
    let mut total = Summary::default();
    for seed in 0..SEEDS {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let upstreams = configured_upstreams(&scenario.upstreams);
        total.merge(Fleet::<P>::run(scenario, &upstreams));
    }
    total.goodput /= SEEDS as f64;
    total
}

/// The limits of a policy's figures.
#[derive(Clone, Copy, Debug)]
struct Limits {
    p99: Limit,
    given_up: Limit,
    goodput: Limit,
}

const UNLIMITED: Limits = Limits {
    p99: Limit::None,
    given_up: Limit::None,
    goodput: Limit::None,
};

fn report_summary(
    report: &mut Report,
    name: &str,
    mut summary: Summary,
    limits: Limits,
) -> Summary {
    let p99_ms = summary.quantile_ms(0.99);
    report.figure(&format!("{name}.p99"), p99_ms, "ms", limits.p99);
    let given_up = summary.given_up_share();
    report.figure(
        &format!("{name}.given_up"),
        given_up,
        "share",
        limits.given_up,
    );
    let rejections = summary.rejections_per_request();
    report.figure(
        &format!("{name}.refusals"),
        rejections,
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

/// Reports all baselines; returns the summaries of round robin and two choices.
fn report_baselines(report: &mut Report, name: &str, scenario: &Scenario) -> [Summary; 2] {
    let mut report_one = |policy: &str, summary| {
        report_summary(report, &format!("{name}.{policy}"), summary, UNLIMITED)
    };
    let round_robin = report_one(
        "round_robin",
        run_policy::<RulePolicy<RoundRobin>>(scenario),
    );
    let two = report_one(
        "two_choices",
        run_policy::<RulePolicy<TwoChoicesReported>>(scenario),
    );
    report_one(
        "least_in_flight",
        run_policy::<RulePolicy<LeastInFlight>>(scenario),
    );
    report_one(
        "least_loaded",
        run_policy::<RulePolicy<LeastLoadedFullView>>(scenario),
    );
    report_one("subset", run_policy::<RulePolicy<Subset>>(scenario));
    report_one("slot_credits", run_policy::<SlotCredits>(scenario));
    [round_robin, two]
}

/// Compares the policies at three loads with upstreams that queue requests.
fn compare_queueing(report: &mut Report) {
    for (load, goodput) in [(0.6, 0.59), (0.9, 0.88), (1.2, 0.95)] {
        let scenario = scenario(load, QUEUE_LENGTH);
        let name = format!("choice.queueing_{:.0}", load * 100.0);
        let mut baselines = report_baselines(report, &name, &scenario);
        let best_p99 = baselines
            .each_mut()
            .map(|summary| summary.quantile_ms(0.99));
        let best_given_up = baselines.each_ref().map(Summary::given_up_share);
        let mut limits = Limits {
            goodput: Limit::AtLeast(goodput),
            ..UNLIMITED
        };
        if load < 1.0 {
            limits.p99 = Limit::AtMost(best_p99[0].min(best_p99[1]));
            limits.given_up = Limit::AtMost(best_given_up[0].min(best_given_up[1]));
        }
        report_summary(
            report,
            &format!("{name}.in_use"),
            run_policy::<BalancerPolicy>(&scenario),
            limits,
        );
    }
}

/// Compares the policies with upstreams that reject requests when no slot is
/// free. Baselines give up so many requests there that the latencies of the
/// others are no useful limit.
fn compare_shedding(report: &mut Report) {
    for load in [0.6, 0.9, 1.2] {
        let scenario = scenario(load, NO_QUEUE);
        let name = format!("choice.shedding_{:.0}", load * 100.0);
        let baselines = report_baselines(report, &name, &scenario);
        let given_up = baselines.each_ref().map(Summary::given_up_share);
        let limits = Limits {
            given_up: Limit::AtMost(given_up[0].min(given_up[1])),
            ..UNLIMITED
        };
        report_summary(
            report,
            &format!("{name}.in_use"),
            run_policy::<BalancerPolicy>(&scenario),
            limits,
        );
    }
}

/// Injects a fault at 80 % load and compares the balancer with round robin.
fn compare_fault(
    report: &mut Report,
    fault: &str,
    p99_limit: fn(f64) -> Limit,
    change: impl Fn(&mut Scenario),
) -> Summary {
    let mut scenario = scenario(0.8, QUEUE_LENGTH);
    change(&mut scenario);
    let name = format!("choice.{fault}");
    let round_robin = run_policy::<RulePolicy<RoundRobin>>(&scenario);
    let mut round_robin = report_summary(
        report,
        &format!("{name}.round_robin"),
        round_robin,
        UNLIMITED,
    );
    let two = run_policy::<RulePolicy<TwoChoicesReported>>(&scenario);
    report_summary(report, &format!("{name}.two_choices"), two, UNLIMITED);
    let limits = Limits {
        p99: p99_limit(round_robin.quantile_ms(0.99)),
        given_up: Limit::AtMost(round_robin.given_up_share()),
        goodput: Limit::AtLeast(round_robin.goodput * 0.99),
    };
    report_summary(
        report,
        &format!("{name}.in_use"),
        run_policy::<BalancerPolicy>(&scenario),
        limits,
    )
}

fn compare_faults(report: &mut Report) {
    compare_fault(report, "lying_idle", Limit::AtMost, |scenario| {
        for profile in &mut scenario.upstreams[..3] {
            profile.false_utilization = Some(0.0);
        }
    });
    compare_fault(report, "lying_busy", Limit::AtMost, |scenario| {
        for profile in &mut scenario.upstreams[..3] {
            profile.false_utilization = Some(3.0);
        }
    });
    compare_fault(report, "one_slow", Limit::AtMost, |scenario| {
        scenario.upstreams[0].run_mean *= 5;
    });
    // No limit on the latency: during bursts, the balancer lets requests wait at
    // the instance instead of giving them up, as the priority `headroom` asks.
    compare_fault(
        report,
        "bursts",
        |_| Limit::None,
        |scenario| {
            scenario.load = 0.7;
            scenario.burst_factor = 1.5;
        },
    );
    let dead = compare_fault(report, "one_dead", Limit::AtMost, |scenario| {
        scenario.upstreams[0].dies_at = Some(foxtide_core::time::MonotonicTime::from_ms(5_000));
    });
    let last_s = dead.last_sent_to_dead.unwrap_or_default().as_secs_f64();
    let name = "choice.one_dead.last_request_after_death";
    report.figure(name, last_s, "s", Limit::AtMost(3.0));
}

/// Checks that retries do not multiply the load if half of all answers are
/// errors.
fn measure_retry_storm(report: &mut Report) {
    let mut scenario = scenario(0.6, QUEUE_LENGTH);
    for profile in &mut scenario.upstreams {
        profile.error_share = 0.5;
    }
    let attempts = run_policy::<BalancerPolicy>(&scenario).attempts_per_request();
    let limit = Limit::AtMost(1.2);
    report.figure("retry.half_errors.attempts", attempts, "/request", limit);
}

/// Compares the latency with and without hedging if run times have a long tail:
/// they are exponential, with 5 % above three times the mean.
fn measure_hedging(report: &mut Report) {
    for load in [0.6, 0.9] {
        let plain = Scenario {
            fixed_run_share: 0.0,
            ..scenario(load, QUEUE_LENGTH)
        };
        let hedged = Scenario {
            hedge_delay: Some(Duration::from_millis(60)),
            ..plain.clone()
        };
        let name = format!("retry.hedging_{:.0}", load * 100.0);
        let mut without = run_policy::<BalancerPolicy>(&plain);
        let without_ms = without.quantile_ms(0.99);
        let mut with = run_policy::<BalancerPolicy>(&hedged);
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

pub(crate) fn run(report: &mut Report) {
    compare_queueing(report);
    compare_shedding(report);
    compare_faults(report);
    measure_retry_storm(report);
    measure_hedging(report);
    cost::run(report);
}
