//! Measures the processor time, memory, connections and polls of the balancer.

use super::configured_upstreams;
use super::upstream::UpstreamProfile;
use crate::report::{
    Limit,
    Report, //
};
use foxtide_core::choice::{
    Balancer,
    BalancerOptions,
    Completion,
    CompletionKind,
    Pick,
    PollResult,
    Rank, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{
    Duration,
    Instant, //
};

const ROUNDS: u64 = 200_000;

/// Returns the time of one pick and its completion, in nanoseconds.
fn pick_and_finish_ns(upstreams: usize) -> f64 {
    let list = configured_upstreams(&vec![UpstreamProfile::default(); upstreams]);
    let mut balancer = Balancer::new(BalancerOptions::default(), 1);
    balancer.configure(&list, 1, MonotonicTime::ZERO);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = MonotonicTime::from_us(round * 500);
        let draw = round.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        if let Pick::Take(ticket) = black_box(balancer.pick(now, draw)) {
            let latency = Duration::from_millis(20);
            let completion = Completion::new(CompletionKind::Answered, latency);
            balancer.finish(ticket, completion, now);
        }
    }
    started.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64
}

fn pick_cost(report: &mut Report) {
    let limit = Limit::AtMost(2_000.0);
    let twelve = pick_and_finish_ns(12);
    report.figure("choice.pick_and_finish_12", twelve, "ns", limit);
    let many = pick_and_finish_ns(130);
    report.figure("choice.pick_and_finish_130", many, "ns", Limit::None);
    let slope = (many - twelve) / 118.0;
    report.figure(
        "choice.pick_slope",
        slope,
        "ns/upstream",
        Limit::AtMost(50.0),
    );
}

/// Reports the subset size and the connections to an upstream if 600 instances
/// share 12 upstreams.
fn subset_at_target(report: &mut Report, name: &str, ranked: bool) {
    const INSTANCES: u32 = 600;
    let list = configured_upstreams(&vec![UpstreamProfile::default(); 12]);
    let mut connections: BTreeMap<String, u32> = BTreeMap::new();
    let mut used = 0;
    for instance in 0..INSTANCES {
        let mut balancer = Balancer::new(BalancerOptions::default(), instance.into());
        balancer.configure(&list, INSTANCES, MonotonicTime::ZERO);
        let rank = Rank {
            index: instance,
            total: INSTANCES,
        };
        balancer.set_rank(ranked.then_some(rank), MonotonicTime::ZERO);
        for (upstream, limit) in balancer.connection_limits() {
            *connections
                .entry(upstream.upstream.to_string())
                .or_default() += limit;
            used += 1;
        }
    }
    let subset = f64::from(used) / f64::from(INSTANCES);
    report.figure(
        &format!("choice.{name}.subset"),
        subset,
        "upstreams",
        Limit::None,
    );
    let most = connections.values().max().copied().unwrap_or(0);
    let limit = if ranked {
        Limit::AtMost(360.0)
    } else {
        Limit::None
    };
    let name = format!("choice.{name}.connections_most");
    report.figure(&name, most.into(), "of 360", limit);
}

/// Reports the rate of polls to an idle upstream that answers.
fn idle_polls(report: &mut Report) {
    const TIME_S: u64 = 600;
    let mut balancer = Balancer::new(BalancerOptions::default(), 1);
    let list = configured_upstreams(&[UpstreamProfile::default()]);
    balancer.configure(&list, 1, MonotonicTime::ZERO);
    let mut polls = 0;
    for tick in 0..TIME_S * 10 {
        let now = MonotonicTime::from_ms(tick * 100);
        while let Some(poll) = balancer.next_poll(now) {
            let result = PollResult::Answered {
                load: None,
                draining: false,
            };
            balancer.finish_poll(poll, result, now);
            polls += 1;
        }
    }
    let rate = f64::from(polls) / TIME_S as f64;
    report.figure("choice.idle_polls", rate, "/s/upstream", Limit::AtMost(1.0));
}

pub(crate) fn run(report: &mut Report) {
    pick_cost(report);
    idle_polls(report);
    subset_at_target(report, "600_instances_by_hash", false);
    subset_at_target(report, "600_instances_by_rank", true);
    let size = Balancer::state_bytes_per_upstream() as f64;
    report.figure(
        "choice.state_per_upstream",
        size,
        "bytes",
        Limit::AtMost(512.0),
    );
}
