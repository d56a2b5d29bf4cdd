//! Property tests of the load balancer: invariants under random operations.

mod upstreams;

use foxtide_core::choice::{
    Balancer,
    BalancerOptions,
    Completion,
    CompletionKind,
    LoadReport,
    Pick,
    Poll,
    PollResult,
    Ticket,
    UpstreamStatus, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::time::MonotonicTime;
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;
use upstreams::{
    id,
    list, //
};

const UPSTREAMS: usize = 6;

#[derive(Clone, Debug)]
enum Op {
    Pick {
        draw: u64,
    },
    Finish {
        which: usize,
        kind: CompletionKind,
        utilization: Option<f64>,
    },
    Poll,
    FinishPoll {
        answered: bool,
    },
    Leave(usize),
    Rejoin(usize),
    Configure {
        upstreams: usize,
        instances: u32,
    },
    Advance {
        ms: u64,
    },
}

fn kind() -> impl Strategy<Value = CompletionKind> {
    prop_oneof![
        4 => Just(CompletionKind::Answered),
        2 => Just(CompletionKind::Failed),
        2 => Just(CompletionKind::Lost),
        1 => Just(CompletionKind::TimedOut),
        1 => Just(CompletionKind::NotSent),
        2 => Just(CompletionKind::Rejected),
        1 => Just(CompletionKind::Cancelled),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let finish = (any::<usize>(), kind(), proptest::option::of(0.0..9.0));
    prop_oneof![
        20 => any::<u64>().prop_map(|draw| Op::Pick { draw }),
        20 => finish.prop_map(|(which, kind, utilization)| Op::Finish { which, kind, utilization }),
        3 => Just(Op::Poll),
        3 => any::<bool>().prop_map(|answered| Op::FinishPoll { answered }),
        1 => (0..UPSTREAMS).prop_map(Op::Leave),
        1 => (0..UPSTREAMS).prop_map(Op::Rejoin),
        1 => (1..=UPSTREAMS, 1..800u32)
            .prop_map(|(upstreams, instances)| Op::Configure { upstreams, instances }),
        3 => (0..4_000u64).prop_map(|ms| Op::Advance { ms }),
    ]
}

/// A balancer with its open tickets and polls.
struct Harness {
    balancer: Balancer,
    now: MonotonicTime,
    tickets: Vec<Ticket>,
    polls: Vec<Poll>,
    leaving: BTreeSet<UpstreamId>,
}

impl Harness {
    fn new() -> Self {
        let mut balancer = Balancer::new(BalancerOptions::default(), 3);
        balancer.configure(&list(UPSTREAMS), 1, MonotonicTime::ZERO);
        Self {
            balancer,
            now: MonotonicTime::ZERO,
            tickets: Vec::new(),
            polls: Vec::new(),
            leaving: BTreeSet::new(),
        }
    }

    fn run(&mut self, op: Op) {
        let now = self.now;
        match op {
            Op::Pick { draw } => self.pick(draw),
            Op::Finish {
                which,
                kind,
                utilization,
            } => self.finish(which, kind, utilization),
            Op::Poll => self.polls.extend(self.balancer.next_poll(now)),
            Op::FinishPoll { answered } => self.finish_poll(answered),
            Op::Leave(number) => {
                self.leaving.insert(id(number));
                self.balancer.leave(&id(number), now);
            }
            Op::Rejoin(number) => {
                self.leaving.remove(&id(number));
                self.balancer.rejoin(&id(number), now);
            }
            Op::Configure {
                upstreams,
                instances,
            } => {
                self.leaving
                    .retain(|name| (0..upstreams).any(|number| id(number) == *name));
                self.balancer.configure(&list(upstreams), instances, now);
                for name in &self.leaving {
                    self.balancer.leave(name, now);
                }
            }
            Op::Advance { ms } => self.now = now + Duration::from_millis(ms),
        }
    }

    fn pick(&mut self, draw: u64) {
        let unavailable: Vec<UpstreamId> = self
            .balancer
            .statuses(self.now)
            .filter(|(_, status)| !is_open(*status))
            .map(|(upstream, _)| upstream.upstream.clone())
            .collect();
        if let Pick::Take(ticket) = self.balancer.pick(self.now, draw) {
            let chosen = &ticket.upstream().upstream;
            assert!(!self.leaving.contains(chosen), "{chosen} is leaving");
            assert!(!unavailable.contains(chosen), "{chosen} is unavailable");
            self.tickets.push(ticket);
        }
    }

    fn finish(&mut self, which: usize, kind: CompletionKind, utilization: Option<f64>) {
        if self.tickets.is_empty() {
            return;
        }
        let ticket = self.tickets.swap_remove(which % self.tickets.len());
        let completion = Completion {
            load: utilization.map(|utilization| LoadReport { utilization }),
            ..Completion::new(kind, Duration::from_millis(20))
        };
        self.balancer.finish(ticket, completion, self.now);
    }

    fn finish_poll(&mut self, answered: bool) {
        let Some(poll) = self.polls.pop() else {
            return;
        };
        let result = if answered {
            PollResult::Answered {
                load: None,
                draining: false,
            }
        } else {
            PollResult::TimedOut
        };
        self.balancer.finish_poll(poll, result, self.now);
    }

    fn check(&self) {
        let statuses: Vec<UpstreamStatus> = self
            .balancer
            .statuses(self.now)
            .map(|(_, status)| status)
            .collect();
        let count = |wanted| statuses.iter().filter(|status| **status == wanted).count();
        let in_use =
            statuses.len() - count(UpstreamStatus::Leaving) - count(UpstreamStatus::Unused);
        let share = BalancerOptions::default().ejection.ejected_max.get();
        let limit = (in_use as f64 * share) as usize;
        let ejected = count(UpstreamStatus::Ejected);
        assert!(ejected <= limit, "{ejected} of {in_use} are ejected");
        assert!(self.balancer.in_flight() as usize <= self.tickets.len());
    }
}

fn is_open(status: UpstreamStatus) -> bool {
    matches!(status, UpstreamStatus::Serving | UpstreamStatus::Ramping)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_balancer_keeps_its_invariants(ops in proptest::collection::vec(op(), 1..300)) {
        let mut harness = Harness::new();
        for op in ops {
            harness.run(op);
            harness.check();
        }
    }
}
