//! The bound on requests in a window, and the share of the limit that must be used.

use super::fleet::{
    Arrival,
    Fleet, //
};

/// The requested rate, as a multiple of the limit.
const DEMAND_FACTOR: f64 = 5.0;

/// The time between the start of the instances and the limit.
const LEAD_MS: u64 = 10_000;

/// The time from a limit to the first window that counts.
const SETTLE_MS: u64 = 4_000;

const WINDOW_MS: u64 = 4_000;

const TICK_MS: u64 = 10;

/// An event in the fleet.
#[derive(Clone, Debug)]
enum Step {
    Kill(Vec<usize>),
    Start(Vec<usize>),
    Cut(Vec<usize>),
    Heal(Vec<usize>),
    Loss(f64),
    Limit(Option<f64>),
}

fn apply(fleet: &mut Fleet, step: &Step, now_ms: u64) {
    match step {
        Step::Kill(instances) => instances.iter().for_each(|&one| fleet.kill(one, now_ms)),
        Step::Start(instances) => instances.iter().for_each(|&one| fleet.start(one, now_ms)),
        Step::Cut(instances) => instances.iter().for_each(|&one| fleet.cut(one, now_ms)),
        Step::Heal(instances) => instances.iter().for_each(|&one| fleet.heal(one, now_ms)),
        Step::Loss(share) => fleet.set_loss(*share),
        Step::Limit(limit_rps) => fleet.set_limit(*limit_rps),
    }
}

/// Runs steps, timed from the end of the lead, while `demand_rps` arrive at random instances of
/// `callers`.
fn run_steps(
    fleet: &mut Fleet,
    steps: &[(u64, Step)],
    demand_rps: f64,
    length_ms: u64,
    callers: &[usize],
) {
    let mut due = 0;
    let mut due_requests = 0.0;
    for now_ms in (0..LEAD_MS + length_ms).step_by(TICK_MS as usize) {
        while due < steps.len() && steps[due].0 + LEAD_MS <= now_ms {
            apply(fleet, &steps[due].1, now_ms);
            due += 1;
        }
        fleet.deliver(now_ms);
        due_requests += demand_rps * TICK_MS as f64 / 1_000.0;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let at = callers[fleet.random.usize(..callers.len())];
            fleet.request(at, now_ms);
        }
    }
}

fn random_instances(fleet: &mut Fleet, share: f64) -> Vec<usize> {
    let count = fleet.count();
    (0..count).filter(|_| fleet.random.f64() < share).collect()
}

/// Draws up to three overlapping faults and lost datagrams.
fn faults(fleet: &mut Fleet) -> Vec<(u64, Step)> {
    let mut steps = Vec::new();
    for _ in 0..fleet.random.usize(1..=3) {
        let at_ms = fleet.random.u64(2_000..14_000);
        let ends_ms = at_ms + fleet.random.u64(300..6_300);
        let share = fleet.random.f64();
        let affected = random_instances(fleet, share);
        if fleet.random.bool() {
            steps.push((at_ms, Step::Kill(affected.clone())));
            steps.push((ends_ms, Step::Start(affected)));
        } else {
            steps.push((at_ms, Step::Cut(affected.clone())));
            steps.push((ends_ms, Step::Heal(affected)));
        }
    }
    steps.push((fleet.random.u64(0..10_000), Step::Loss(0.1)));
    steps
}

/// The requests that an upstream accepts in a window.
fn accepted(limit_rps: f64) -> usize {
    (1.5 * limit_rps * (WINDOW_MS as f64 / 1_000.0) + 5.0) as usize
}

/// Returns the most requests of told instances in a window that begins in `from_ms..until_ms`.
fn most_in_window(arrivals: &[Arrival], from_ms: u64, until_ms: u64) -> usize {
    let told = arrivals.iter().filter(|arrival| arrival.is_told);
    let mut times: Vec<u64> = told.map(|arrival| arrival.at_ms).collect();
    times.retain(|&at_ms| (from_ms..until_ms).contains(&at_ms));
    times.sort_unstable();
    let in_window = |&start_ms: &u64| {
        let end = times.partition_point(|&at_ms| at_ms <= start_ms + WINDOW_MS);
        end - times.partition_point(|&at_ms| at_ms < start_ms)
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

fn arrived(arrivals: &[Arrival], from_ms: u64, until_ms: u64) -> usize {
    let times = arrivals.iter().map(|arrival| arrival.at_ms);
    times
        .filter(|at_ms| (from_ms..until_ms).contains(at_ms))
        .count()
}

/// Guards against an upstream that is overrun although each instance keeps to what it knows of
/// the limit: coordinators that are replaced, cut off, restarted or unreachable.
#[test]
fn verify_no_window_exceeds_the_limit_under_faults() {
    let mut broken = Vec::new();
    for seed in 0..400 {
        let limit_rps = [0.3, 1.0, 2.6, 12.0, 60.0][seed as usize % 5];
        let count = [2, 5, 10, 18, 40][seed as usize / 5 % 5];
        let mut fleet = Fleet::new(count, seed);
        let mut steps = vec![(0, Step::Limit(Some(limit_rps)))];
        steps.extend(faults(&mut fleet));
        steps.sort_by_key(|(at_ms, _)| *at_ms);
        let share = fleet.random.f64();
        let mut callers = random_instances(&mut fleet, share);
        if callers.is_empty() {
            callers.push(0);
        }
        let demand_rps = limit_rps * DEMAND_FACTOR;
        run_steps(&mut fleet, &steps, demand_rps, 24_000, &callers);
        let most = most_in_window(&fleet.arrivals, LEAD_MS + SETTLE_MS, u64::MAX);
        if most > accepted(limit_rps) {
            broken.push((seed, most, accepted(limit_rps)));
        }
    }
    assert!(broken.is_empty(), "{} seeds: {broken:?}", broken.len());
}

/// Guards against a limit that is kept by sending nothing.
#[test]
fn verify_the_limit_is_used_by_any_number_of_instances() {
    for limit_rps in [0.3, 1.0, 10.0, 300.0] {
        for (count, callers) in [(2, 2), (10, 1), (10, 10), (150, 150), (1_000, 1_000)] {
            let mut fleet = Fleet::new(count, 7);
            let steps = [(0, Step::Limit(Some(limit_rps)))];
            let callers: Vec<usize> = (0..callers).collect();
            let demand_rps = limit_rps * DEMAND_FACTOR;
            run_steps(&mut fleet, &steps, demand_rps, 34_000, &callers);
            let from_ms = LEAD_MS + SETTLE_MS;
            let used = arrived(&fleet.arrivals, from_ms, from_ms + 30_000) as f64;
            let what = format!("{limit_rps}, {count} instances, {} callers", callers.len());
            assert!(used >= 0.8 * limit_rps * 30.0, "{what}: {used}");
            let most = most_in_window(&fleet.arrivals, from_ms, u64::MAX);
            assert!(most <= accepted(limit_rps), "{what}: {most}");
        }
    }
}

/// Guards against a limit that outlives the upstream's statement, also one of 0.
#[test]
fn verify_changes_and_the_end_of_a_limit_take_effect() {
    for (before, after) in [(40.0, 2.0), (2.0, 40.0), (0.0, 5.0)] {
        let mut fleet = Fleet::new(18, 7);
        let steps = [
            (0, Step::Limit(Some(before))),
            (10_000, Step::Limit(Some(after))),
            (24_000, Step::Limit(None)),
        ];
        let callers: Vec<usize> = (0..18).collect();
        run_steps(&mut fleet, &steps, 60.0, 40_000, &callers);
        let (first_ms, second_ms, ends_ms) = (LEAD_MS, LEAD_MS + 10_000, LEAD_MS + 24_000);
        let most = most_in_window(&fleet.arrivals, first_ms + SETTLE_MS, second_ms);
        assert!(most <= accepted(before), "{before} to {after}: {most}");
        let most = most_in_window(&fleet.arrivals, second_ms + SETTLE_MS, ends_ms);
        assert!(most <= accepted(after), "{before} to {after}: {most}");
        // The last seconds are those of an upstream without a limit.
        let free_ms = LEAD_MS + 34_000;
        let served = arrived(&fleet.arrivals, free_ms, free_ms + 6_000);
        assert!(served >= 300, "{before} to {after}: {served} of 360");
    }
}
