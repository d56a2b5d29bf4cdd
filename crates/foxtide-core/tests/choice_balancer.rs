//! Which upstreams a balancer chooses, and which it must not.

mod upstreams;

use foxtide_core::choice::{
    Balancer, BalancerOptions, Completion, CompletionKind, Pick, PollResult, Ticket, UpstreamStatus,
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;
use upstreams::{id, list};

const LATENCY: Duration = Duration::from_millis(10);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn balancer(upstreams: usize, sharing_instances: u32) -> Balancer {
    let mut balancer = Balancer::new(BalancerOptions::default(), 7);
    balancer.configure(&list(upstreams), sharing_instances, at(0));
    balancer
}

fn take(balancer: &mut Balancer, now: MonotonicTime, draw: u64) -> Ticket {
    match balancer.pick(now, draw) {
        Pick::Take(ticket) => ticket,
        other => panic!("no upstream was chosen: {other:?}"),
    }
}

fn finish(balancer: &mut Balancer, ticket: Ticket, kind: CompletionKind, now: MonotonicTime) {
    balancer.finish(ticket, Completion::new(kind, LATENCY), now);
}

/// Serves requests one after another; returns how many went to each upstream.
fn serve(balancer: &mut Balancer, times_ms: std::ops::Range<u64>) -> BTreeSet<String> {
    let mut seen = BTreeSet::new();
    for ms in times_ms {
        let ticket = take(balancer, at(ms), ms.wrapping_mul(0x1234_5677));
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
fn verify_leaving_upstream_gets_nothing() {
    let mut balancer = balancer(3, 1);
    balancer.leave(&id(1), at(5));
    let seen = serve(&mut balancer, 5..500);
    assert!(!seen.contains(id(1).as_str()));
    balancer.rejoin(&id(1), at(500));
    assert!(serve(&mut balancer, 500..30_000).contains(id(1).as_str()));
}

#[test]
fn verify_upstream_that_says_it_drains_gets_nothing_until_a_poll_denies_it() {
    let mut balancer = balancer(1, 1);
    let ticket = take(&mut balancer, at(0), 0);
    let mut completion = Completion::new(CompletionKind::Answered, LATENCY);
    completion.draining = true;
    balancer.finish(ticket, completion, at(10));
    assert!(matches!(balancer.pick(at(10), 0), Pick::Empty));
    let poll = balancer
        .next_poll(at(600))
        .expect("a draining upstream is polled");
    let denial = PollResult::Answered {
        load: None,
        draining: false,
    };
    balancer.finish_poll(poll, denial, at(601));
    assert!(matches!(balancer.pick(at(601), 0), Pick::Take(_)));
}

#[test]
fn verify_full_upstreams_ask_to_wait() {
    let mut balancer = balancer(1, 1);
    let tickets: Vec<Ticket> = (0..4).map(|n| take(&mut balancer, at(0), n)).collect();
    assert!(matches!(balancer.pick(at(0), 9), Pick::Wait { .. }));
    for ticket in tickets {
        finish(&mut balancer, ticket, CompletionKind::Answered, at(10));
    }
    assert!(matches!(balancer.pick(at(10), 9), Pick::Take(_)));
}

#[test]
fn verify_silent_upstream_gets_nothing_after_three_seconds() {
    let mut balancer = balancer(3, 1);
    let mut polls = Vec::new();
    let mut last_sent_ms = 0;
    let died_ms = 1_000;
    for ms in (0..20_000).step_by(5) {
        while let Some(poll) = balancer.next_poll(at(ms)) {
            if poll.upstream().upstream == id(0) && ms >= died_ms {
                polls.push((ms, poll));
            } else {
                let answer = PollResult::Answered {
                    load: None,
                    draining: false,
                };
                balancer.finish_poll(poll, answer, at(ms));
            }
        }
        let ticket = take(&mut balancer, at(ms), ms.wrapping_mul(0x9e37_79b9));
        if ticket.upstream().upstream == id(0) && ms >= died_ms {
            last_sent_ms = ms;
            drop(ticket);
            continue;
        }
        finish(&mut balancer, ticket, CompletionKind::Answered, at(ms));
    }
    assert!(last_sent_ms <= died_ms + 3_000, "sent at {last_sent_ms} ms");
    let mut statuses = balancer.statuses(at(20_000));
    let dead = statuses.find(|(upstream, _)| upstream.upstream == id(0));
    assert_eq!(dead.map(|(_, status)| status), Some(UpstreamStatus::Dead));
}

#[test]
fn verify_dead_upstream_returns_through_a_poll() {
    let mut balancer = balancer(1, 1);
    for _ in 0..2 {
        let ticket = take(&mut balancer, at(0), 0);
        finish(&mut balancer, ticket, CompletionKind::NotSent, at(0));
    }
    assert!(matches!(balancer.pick(at(0), 0), Pick::Empty));
    let poll = balancer
        .next_poll(at(600))
        .expect("a dead upstream is polled");
    balancer.finish_poll(poll, PollResult::Unreachable, at(600));
    assert!(matches!(balancer.pick(at(600), 0), Pick::Empty));
    let poll = balancer.next_poll(at(1_200)).expect("it is polled again");
    let answer = PollResult::Answered {
        load: None,
        draining: false,
    };
    balancer.finish_poll(poll, answer, at(1_200));
    assert!(matches!(balancer.pick(at(1_200), 0), Pick::Take(_)));
}
