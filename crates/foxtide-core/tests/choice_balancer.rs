//! Tests of the load balancer: selection, failure detection, ejection and sharing.

mod upstreams;

use foxtide_core::choice::{
    Balancer,
    BalancerOptions,
    Completion,
    CompletionKind,
    LoadReport,
    Pick,
    PollResult,
    Rank,
    Sharing,
    Ticket,
    UpstreamStatus, //
};
use foxtide_core::ids::{
    InstanceId,
    RegionId, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;
use upstreams::{
    id,
    list, //
};

const LATENCY: Duration = Duration::from_millis(10);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn rank(index: u32, total: u32) -> Rank {
    Rank { index, total }
}

fn balancer(upstreams: usize, sharing_instances: u32) -> Balancer {
    let mut balancer = Balancer::new(BalancerOptions::default(), 7);
    balancer.configure(&list(upstreams), sharing_instances, at(0));
    balancer
}

fn pick(balancer: &mut Balancer, now: MonotonicTime, draw: u64) -> Ticket {
    match balancer.pick(now, draw) {
        Pick::Take(ticket) => ticket,
        other => panic!("no upstream was chosen: {other:?}"),
    }
}

fn finish(balancer: &mut Balancer, ticket: Ticket, kind: CompletionKind, now: MonotonicTime) {
    balancer.finish(ticket, Completion::new(kind, LATENCY), now);
}

/// Serves requests one after another; returns the upstreams used.
fn serve(balancer: &mut Balancer, times_ms: std::ops::Range<u64>) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for ms in times_ms {
        let ticket = pick(balancer, at(ms), ms.wrapping_mul(0x1234_5677));
        seen.insert(ticket.upstream().upstream.to_string());
        finish(balancer, ticket, CompletionKind::Answered, at(ms) + LATENCY);
    }
    seen
}

#[test]
fn verify_all_upstreams_are_used() {
    assert_eq!(serve(&mut balancer(12, 10), 0..500).len(), 12);
}

#[test]
fn verify_leaving_upstream_gets_no_requests() {
    let mut balancer = balancer(3, 1);
    balancer.leave(&id(1), at(5));
    let seen = serve(&mut balancer, 5..500);
    assert!(!seen.contains(id(1).as_str()));
    balancer.rejoin(&id(1), at(500));
    assert!(serve(&mut balancer, 500..30_000).contains(id(1).as_str()));
}

#[test]
fn verify_draining_upstream_gets_no_requests_until_a_poll_clears_it() {
    let mut balancer = balancer(1, 1);
    let ticket = pick(&mut balancer, at(0), 0);
    let mut completion = Completion::new(CompletionKind::Answered, LATENCY);
    completion.draining = true;
    balancer.finish(ticket, completion, at(10));
    assert!(matches!(balancer.pick(at(10), 0), Pick::Empty));
    let poll = balancer
        .next_poll(at(2_000))
        .expect("a draining upstream is polled");
    let not_draining = PollResult::Answered {
        load: None,
        draining: false,
    };
    balancer.finish_poll(poll, not_draining, at(2_001));
    assert!(matches!(balancer.pick(at(2_001), 0), Pick::Take(_)));
}

#[test]
fn verify_pick_waits_while_all_upstreams_are_full() {
    let mut balancer = balancer(1, 1);
    let tickets: Vec<Ticket> = (0..4).map(|n| pick(&mut balancer, at(0), n)).collect();
    assert!(matches!(balancer.pick(at(0), 9), Pick::Wait { .. }));
    for ticket in tickets {
        finish(&mut balancer, ticket, CompletionKind::Answered, at(10));
    }
    assert!(matches!(balancer.pick(at(10), 9), Pick::Take(_)));
}

#[test]
fn verify_unresponsive_upstream_gets_no_requests_after_three_seconds() {
    let mut balancer = balancer(3, 1);
    let mut polls = Vec::new();
    let mut last_sent_ms = 0;
    let failed_at_ms = 1_000;
    for ms in (0..20_000).step_by(5) {
        while let Some(poll) = balancer.next_poll(at(ms)) {
            if poll.upstream().upstream == id(0) && ms >= failed_at_ms {
                polls.push((ms, poll));
            } else {
                let answer = PollResult::Answered {
                    load: None,
                    draining: false,
                };
                balancer.finish_poll(poll, answer, at(ms));
            }
        }
        let ticket = pick(&mut balancer, at(ms), ms.wrapping_mul(0x9e37_79b9));
        if ticket.upstream().upstream == id(0) && ms >= failed_at_ms {
            last_sent_ms = ms;
            drop(ticket);
            continue;
        }
        finish(&mut balancer, ticket, CompletionKind::Answered, at(ms));
    }
    assert!(
        last_sent_ms <= failed_at_ms + 3_000,
        "sent at {last_sent_ms} ms"
    );
    let mut statuses = balancer.statuses(at(20_000));
    let dead = statuses.find(|(upstream, _)| upstream.upstream == id(0));
    assert_eq!(dead.map(|(_, status)| status), Some(UpstreamStatus::Dead));
}

#[test]
fn verify_dead_upstream_returns_through_a_poll() {
    let mut balancer = balancer(1, 1);
    for _ in 0..2 {
        let ticket = pick(&mut balancer, at(0), 0);
        finish(&mut balancer, ticket, CompletionKind::NotSent, at(0));
    }
    assert!(matches!(balancer.pick(at(0), 0), Pick::Empty));
    let poll = balancer
        .next_poll(at(2_000))
        .expect("a dead upstream is polled");
    balancer.finish_poll(poll, PollResult::Unreachable, at(2_000));
    assert!(matches!(balancer.pick(at(2_000), 0), Pick::Empty));
    let poll = balancer.next_poll(at(4_000)).expect("it is polled again");
    let answer = PollResult::Answered {
        load: None,
        draining: false,
    };
    balancer.finish_poll(poll, answer, at(4_000));
    assert!(matches!(balancer.pick(at(4_000), 0), Pick::Take(_)));
}

/// Finishes `count` requests: those of `failing` upstreams fail, the others are answered.
fn fail_upstream(balancer: &mut Balancer, failing: &[usize], count: u64, start_ms: u64) {
    for round in 0..count {
        let now = at(start_ms + round);
        let ticket = pick(balancer, now, round.wrapping_mul(0x9e37_79b9_7f4a));
        let name = &ticket.upstream().upstream;
        let fails = failing.iter().any(|number| id(*number) == *name);
        let kind = if fails {
            CompletionKind::Failed
        } else {
            CompletionKind::Answered
        };
        finish(balancer, ticket, kind, now);
    }
}

fn count(balancer: &Balancer, wanted: UpstreamStatus, now: MonotonicTime) -> usize {
    let statuses = balancer.statuses(now);
    statuses.filter(|(_, status)| *status == wanted).count()
}

#[test]
fn verify_failing_upstream_is_ejected_and_ramps_up_afterwards() {
    let mut balancer = balancer(4, 1);
    fail_upstream(&mut balancer, &[2], 200, 0);
    assert_eq!(count(&balancer, UpstreamStatus::Ejected, at(200)), 1);
    let changes = balancer.status_changes(at(200));
    assert!(changes.iter().any(|c| c.to == UpstreamStatus::Ejected));
    balancer.status_changes(at(10_000));
    assert_eq!(count(&balancer, UpstreamStatus::Ejected, at(10_000)), 0);
    assert_eq!(count(&balancer, UpstreamStatus::Ramping, at(10_000)), 1);
}

#[test]
fn verify_failures_common_to_all_upstreams_eject_none() {
    let mut balancer = balancer(4, 1);
    fail_upstream(&mut balancer, &[0, 1, 2, 3], 400, 0);
    assert_eq!(count(&balancer, UpstreamStatus::Ejected, at(400)), 0);
}

#[test]
fn verify_ejections_stop_at_the_configured_share() {
    let mut balancer = balancer(6, 1);
    fail_upstream(&mut balancer, &[0, 1, 2, 3], 2_000, 0);
    assert!(count(&balancer, UpstreamStatus::Ejected, at(2_000)) <= 2);
}

#[test]
fn verify_tried_upstream_is_avoided_while_another_has_a_free_slot() {
    let mut balancer = balancer(2, 1);
    for draw in 0..50 {
        let pick = balancer.pick_avoiding(at(draw), draw, &[id(0)]);
        let Pick::Take(ticket) = pick else {
            panic!("no upstream was chosen: {pick:?}");
        };
        assert_eq!(ticket.upstream().upstream, id(1));
        finish(&mut balancer, ticket, CompletionKind::Answered, at(draw));
    }
}

#[test]
fn verify_new_upstream_gets_a_growing_share() {
    let mut balancer = balancer(3, 1);
    balancer.configure(&list(4), 1, at(1_000));
    let new_share = |balancer: &mut Balancer, start_ms: u64| {
        let mut taken = Vec::new();
        for draw in 0..8 {
            taken.push(pick(balancer, at(start_ms), draw));
        }
        let to_new = taken.iter().filter(|t| t.upstream().upstream == id(3));
        let count = to_new.count();
        for ticket in taken {
            finish(balancer, ticket, CompletionKind::Answered, at(start_ms));
        }
        count
    };
    assert_eq!(new_share(&mut balancer, 1_000), 0);
    assert!(new_share(&mut balancer, 20_000) >= 1);
}

#[test]
fn verify_own_availability_zone_is_preferred_among_equals() {
    let mut upstreams = list(2);
    upstreams[0].availability_zone = "khomas-b".parse().expect("the name is valid");
    let options = BalancerOptions {
        availability_zone: Some("khomas-a".parse().expect("the name is valid")),
        ..BalancerOptions::default()
    };
    let mut balancer = Balancer::new(options, 7);
    balancer.configure(&upstreams, 1, at(0));
    for draw in 0..50 {
        let ticket = pick(&mut balancer, at(draw), draw);
        assert_eq!(ticket.upstream().upstream, id(1));
        finish(&mut balancer, ticket, CompletionKind::Answered, at(draw));
    }
}

#[test]
fn verify_connections_of_all_instances_stay_within_the_upstreams() {
    const INSTANCES: u32 = 600;
    let mut connections = std::collections::BTreeMap::new();
    for index in 0..INSTANCES {
        let mut balancer = balancer(12, INSTANCES);
        balancer.set_rank(Some(rank(index, INSTANCES)), at(0));
        for (upstream, limit) in balancer.connection_limits() {
            *connections.entry(upstream.upstream.clone()).or_insert(0) += limit;
        }
    }
    assert_eq!(connections.len(), 12);
    assert!(
        connections.values().all(|total| *total <= 360),
        "{connections:?}"
    );
}

#[test]
fn verify_each_slot_has_one_owner() {
    const INSTANCES: u32 = 10;
    const SLOTS: u32 = 48;
    let mut taken = std::collections::BTreeMap::new();
    for index in 0..INSTANCES {
        let mut balancer = balancer(12, INSTANCES);
        balancer.set_rank(Some(rank(index, INSTANCES)), at(0));
        let own_slots = SLOTS / INSTANCES + u32::from(index < SLOTS % INSTANCES);
        for draw in 0..own_slots {
            let ticket = pick(&mut balancer, at(0), draw.into());
            let name = ticket.upstream().upstream.clone();
            *taken.entry(name).or_insert(0) += 1;
        }
    }
    assert_eq!(taken.len(), 12);
    assert!(taken.values().all(|slots| *slots == 4), "{taken:?}");
}

/// Serves requests whose answers report a utilization.
fn serve_reporting(balancer: &mut Balancer, utilization: f64) {
    for ms in 0..200 {
        let ticket = pick(balancer, at(ms), ms.wrapping_mul(0x1234_5677));
        let completion = Completion {
            load: Some(LoadReport { utilization }),
            ..Completion::new(CompletionKind::Answered, LATENCY)
        };
        balancer.finish(ticket, completion, at(ms));
    }
}

#[test]
fn verify_hedges_need_idle_upstreams() {
    let mut balancer = balancer(12, 10);
    serve_reporting(&mut balancer, 0.5);
    assert!(balancer.has_spare_capacity());
    serve_reporting(&mut balancer, 0.9);
    assert!(!balancer.has_spare_capacity());
}

#[test]
fn verify_rejections_stop_hedging_despite_reported_idleness() {
    let mut balancer = balancer(12, 10);
    serve_reporting(&mut balancer, 0.0);
    for draw in 0..8 {
        let ticket = pick(&mut balancer, at(200), draw);
        finish(&mut balancer, ticket, CompletionKind::Rejected, at(200));
    }
    assert!(!balancer.has_spare_capacity());
}

#[test]
fn verify_slots_are_shared_within_the_region() {
    let instances = [
        ("b", "khomas"),
        ("a", "khomas"),
        ("c", "erongo"),
        ("d", "khomas"),
    ];
    let instances: Vec<(InstanceId, RegionId)> = instances
        .iter()
        .map(|(name, region)| {
            let name = name.parse().expect("the name is valid");
            (name, region.parse().expect("the name is valid"))
        })
        .collect();
    let listed = instances.iter().map(|(name, region)| (name, region));
    let sharing = Sharing::among(&instances[0].0, listed.clone());
    assert_eq!(sharing.instances, 4);
    assert_eq!(sharing.rank, Some(rank(1, 3)));
    let unknown = "z".parse().expect("the name is valid");
    assert_eq!(Sharing::among(&unknown, listed).rank, None);
}

#[test]
fn verify_idle_upstream_is_detected_dead_within_three_seconds() {
    const TICK_MS: u64 = 100;
    let mut balancer = balancer(3, 1);
    let answer = PollResult::Answered {
        load: None,
        draining: false,
    };
    let failed_at_ms = 4_000;
    let mut unfinished = Vec::new();
    for ms in (0..=failed_at_ms + 3_000).step_by(TICK_MS as usize) {
        while let Some(poll) = balancer.next_poll(at(ms)) {
            if ms >= failed_at_ms {
                unfinished.push(poll);
            } else {
                balancer.finish_poll(poll, answer.clone(), at(ms));
            }
        }
    }
    let now = at(failed_at_ms + 3_000);
    assert_eq!(count(&balancer, UpstreamStatus::Dead, now), 3);
    assert!(matches!(balancer.pick(now, 0), Pick::Empty));
}
