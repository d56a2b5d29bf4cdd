//! The bound on requests in a window, and the rate that must be served.

use super::fleet::{
    Fleet,
    max_requests_in_window,
    quota, //
};
use foxtide_core::quota::QuotaBounds;

/// The requested rate of a busy organisation, as a multiple of its quota.
const DEMAND_FACTOR: f64 = 5.0;

/// The time between the start of the instances and the first request.
const LEAD_MS: u64 = 10_000;

/// The maximum time until a configuration version is in force everywhere.
const CONFIGURATION_MS: u64 = 3_000;

/// An event in the fleet.
#[derive(Clone, Debug)]
enum Step {
    Kill(Vec<usize>),
    Start(Vec<usize>),
    Disconnect(Vec<usize>),
    Reconnect(Vec<usize>),
    Quota(f64),
}

/// Runs steps while an organisation requests `demand_rps` at random instances of `callers`.
fn run_steps(
    fleet: &mut Fleet,
    steps: &[(u64, Step)],
    demand_rps: f64,
    length_ms: u64,
    callers: &[usize],
) {
    let mut due = 0;
    let mut due_requests = 0.0;
    for now_ms in (0..LEAD_MS + length_ms).step_by(10) {
        while due < steps.len() && steps[due].0 + LEAD_MS <= now_ms {
            apply(fleet, &steps[due].1, now_ms);
            due += 1;
        }
        fleet.deliver_updates(now_ms);
        if now_ms < LEAD_MS {
            continue;
        }
        due_requests += demand_rps / 100.0;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let at = callers[fleet.random.below(callers.len() as u64) as usize];
            fleet.request(at, now_ms);
        }
    }
}

fn apply(fleet: &mut Fleet, step: &Step, now_ms: u64) {
    match step {
        Step::Kill(instances) => instances.iter().for_each(|&one| fleet.kill(one, now_ms)),
        Step::Start(instances) => instances.iter().for_each(|&one| fleet.start(one, now_ms)),
        Step::Disconnect(instances) => instances
            .iter()
            .for_each(|&one| fleet.disconnect(one, now_ms)),
        Step::Reconnect(instances) => instances
            .iter()
            .for_each(|&one| fleet.reconnect(one, now_ms)),
        Step::Quota(rate_rps) => fleet.set_quota(quota(*rate_rps)),
    }
}

fn random_instances(fleet: &mut Fleet, share: f64) -> Vec<usize> {
    let count = fleet.count();
    (0..count)
        .filter(|_| fleet.random.share() < share)
        .collect()
}

/// Draws up to three overlapping faults.
fn faults(fleet: &mut Fleet) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for _ in 0..fleet.random.between(1, 3) {
        let at_ms = fleet.random.between(0, 8_000);
        let ends_ms = at_ms + fleet.random.between(300, 6_000);
        let share = fleet.random.share();
        let affected = random_instances(fleet, share);
        if fleet.random.below(2) == 0 {
            steps.push((at_ms, Step::Kill(affected.clone())));
            steps.push((ends_ms, Step::Start(affected)));
        } else {
            steps.push((at_ms, Step::Disconnect(affected.clone())));
            steps.push((ends_ms, Step::Reconnect(affected)));
        }
    }
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}

fn bound(rate_rps: f64) -> f64 {
    QuotaBounds::default().requests_max(&quota(rate_rps))
}

fn window() -> std::time::Duration {
    QuotaBounds::default().window
}

#[test]
fn verify_no_window_exceeds_the_bound_under_faults() {
    let mut broken = Vec::new();
    for seed in 0..1_000 {
        let rate_rps = [1.0, 4.0, 15.0, 40.0][seed as usize % 4];
        let mut fleet = Fleet::new(18, quota(rate_rps), seed);
        let steps = faults(&mut fleet);
        let share = fleet.random.share();
        let mut callers = random_instances(&mut fleet, share);
        if callers.is_empty() {
            callers.push(0);
        }
        run_steps(
            &mut fleet,
            &steps,
            rate_rps * DEMAND_FACTOR,
            12_000,
            &callers,
        );
        let most = max_requests_in_window(&fleet.runs, window(), 0) as f64;
        if most > bound(rate_rps) {
            broken.push((seed, most, bound(rate_rps)));
        }
    }
    assert!(broken.is_empty(), "{} seeds: {broken:?}", broken.len());
}

#[test]
fn verify_quota_changes_take_effect() {
    for (before, after) in [(40.0, 4.0), (40.0, 1.0), (4.0, 40.0)] {
        let mut fleet = Fleet::new(18, quota(before), 7);
        let callers: Vec<usize> = (0..18).collect();
        let steps = [(4_000, Step::Quota(after))];
        run_steps(&mut fleet, &steps, 100.0, 24_000, &callers);
        let binds_ms = LEAD_MS + 4_000 + CONFIGURATION_MS + 5_000;
        let most = max_requests_in_window(&fleet.runs, window(), binds_ms) as f64;
        assert!(most <= bound(after), "{before} to {after}: {most}");
        let served = fleet.runs.iter().filter(|run| run.sent_ms >= binds_ms);
        let allowed = after * 12.0;
        assert!(
            served.count() as f64 >= 0.97 * allowed,
            "{before} to {after}"
        );
    }
}

#[test]
fn verify_one_instance_can_serve_the_whole_quota() {
    for rate_rps in [2.0, 15.0, 150.0] {
        let mut fleet = Fleet::new(77, quota(rate_rps), 3);
        run_steps(&mut fleet, &[], rate_rps * DEMAND_FACTOR, 20_000, &[5]);
        let served = fleet.runs.len() as f64;
        assert!(served >= 0.97 * rate_rps * 20.0, "{rate_rps}: {served}");
        let most = max_requests_in_window(&fleet.runs, window(), 0) as f64;
        assert!(most <= bound(rate_rps), "{rate_rps}: {most}");
    }
}

#[test]
fn verify_no_request_below_the_quota_is_rejected_in_steady_state() {
    for rate_rps in [2.0, 15.0, 150.0] {
        for callers in [vec![5], (0..77).collect::<Vec<_>>()] {
            let mut fleet = Fleet::new(77, quota(rate_rps), 3);
            run_steps(&mut fleet, &[], rate_rps * 0.95, 20_000, &callers);
            assert_eq!(fleet.rejected, 0, "{rate_rps}");
        }
    }
}

/// All instances restart together while the organisation requests its usual rate; a quota
/// is 1.6 times that.
#[test]
fn verify_a_restart_of_all_instances_rejects_few_requests() {
    let rate_rps = 60.0;
    let mut fleet = Fleet::new(77, quota(rate_rps), 3);
    let all: Vec<usize> = (0..77).collect();
    let steps = [
        (1_000, Step::Kill(all.clone())),
        (2_200, Step::Start(all.clone())),
    ];
    run_steps(&mut fleet, &steps, rate_rps / 1.6, 8_000, &all);
    let share = fleet.rejected as f64 / (fleet.runs.len() as f64);
    assert!(share < 0.03, "{share}");
}
