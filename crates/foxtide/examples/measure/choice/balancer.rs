//! The [`Balancer`] as a policy of the comparison.

use super::policies::{
    COMPLETION_WAIT,
    Choice,
    FinishedAttempt,
    Policy, //
};
use foxtide_core::choice::{
    Balancer,
    BalancerOptions,
    Completion,
    LoadReport,
    Pick,
    Poll,
    PollResult,
    Rank, //
};
use foxtide_core::ids::UpstreamId;
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;

/// A policy that applies the [`Balancer`].
#[derive(Debug)]
pub(crate) struct BalancerPolicy {
    balancer: Balancer,
    names: Vec<UpstreamId>,
    polls: Vec<(usize, Poll)>,
}

impl BalancerPolicy {
    fn index(&self, upstream: &Upstream) -> usize {
        let same = |name: &UpstreamId| *name == upstream.upstream;
        self.names
            .iter()
            .position(same)
            .expect("the upstream is configured")
    }
}

fn load(utilization: Option<f64>) -> Option<LoadReport> {
    utilization.map(|utilization| LoadReport { utilization })
}

impl Policy for BalancerPolicy {
    const REJECTIONS_MAX: u32 = 16;

    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self {
        let mut balancer = Balancer::new(BalancerOptions::default(), instance as u64);
        balancer.configure(upstreams, instances as u32, MonotonicTime::ZERO);
        let rank = Rank {
            index: instance as u32,
            total: instances as u32,
        };
        balancer.set_rank(Some(rank), MonotonicTime::ZERO);
        Self {
            balancer,
            names: upstreams.iter().map(|u| u.upstream.clone()).collect(),
            polls: Vec::new(),
        }
    }

    fn choose(&mut self, now: MonotonicTime, draw: u64, tried: &[usize]) -> Choice {
        let tried: Vec<UpstreamId> = tried.iter().map(|n| self.names[*n].clone()).collect();
        match self.balancer.pick_avoiding(now, draw, &tried) {
            Pick::Take(ticket) => Choice::Send(self.index(ticket.upstream()), Some(ticket)),
            Pick::Wait { retry_in } | Pick::Throttled { retry_in } | Pick::Resting { retry_in } => {
                Choice::Wait(retry_in)
            }
            Pick::Empty => Choice::Wait(COMPLETION_WAIT),
        }
    }

    fn record_finished(&mut self, attempt: FinishedAttempt, now: MonotonicTime) {
        let completion = Completion {
            kind: attempt.kind,
            latency: attempt.latency,
            load: load(attempt.utilization),
            draining: false,
        };
        let ticket = attempt.ticket.expect("every attempt has a ticket");
        self.balancer.finish(ticket, completion, now);
    }

    fn may_hedge(&self) -> bool {
        self.balancer.has_spare_capacity()
    }

    fn due_polls(&mut self, now: MonotonicTime) -> Vec<usize> {
        let mut due = Vec::new();
        while let Some(poll) = self.balancer.next_poll(now) {
            let index = self.index(poll.upstream());
            due.push(index);
            self.polls.push((index, poll));
        }
        due
    }

    fn record_poll(&mut self, index: usize, utilization: Option<f64>, now: MonotonicTime) {
        let position = self.polls.iter().position(|(polled, _)| *polled == index);
        let Some(position) = position else {
            return;
        };
        let (_, poll) = self.polls.swap_remove(position);
        let result = match utilization {
            Some(_) => PollResult::Answered {
                load: load(utilization),
                draining: false,
            },
            None => PollResult::TimedOut,
        };
        self.balancer.finish_poll(poll, result, now);
    }
}
