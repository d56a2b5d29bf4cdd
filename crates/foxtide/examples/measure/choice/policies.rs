//! The policy interface for the choice of an upstream, and baseline policies.

use foxtide_core::choice::{
    CompletionKind,
    Ticket, //
};
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// The decision of a policy on a request.
#[derive(Debug)]
pub(crate) enum Choice {
    /// Send the request to the upstream with this index.
    Send(usize, Option<Ticket>),
    /// Let the request wait for this time or until the next completion.
    Wait(Duration),
}

/// A finished attempt.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) index: usize,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) kind: CompletionKind,
    pub(crate) latency: Duration,
    pub(crate) utilization: Option<f64>,
}

/// A policy for the choice of an upstream, with the state of one instance.
pub(crate) trait Policy {
    /// The number of rejected attempts that a request may repeat without drawing
    /// on the retry budget.
    const REJECTIONS_MAX: u32 = 0;

    /// Returns the state of instance number `instance` out of `instances`.
    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self;

    /// Chooses an upstream, preferably one that is not in `tried`.
    fn choose(&mut self, now: MonotonicTime, draw: u64, tried: &[usize]) -> Choice;

    fn record_finished(&mut self, attempt: FinishedAttempt, now: MonotonicTime);

    /// Returns whether a hedge may be sent.
    fn may_hedge(&self) -> bool {
        true
    }

    /// Returns the upstreams to poll now.
    fn due_polls(&mut self, now: MonotonicTime) -> Vec<usize>;

    /// Records the result of a poll; `None` if it was not answered.
    fn record_poll(&mut self, index: usize, utilization: Option<f64>, now: MonotonicTime);
}

/// The state that baseline policies keep of each upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamView {
    slots: usize,
    in_flight: usize,
    reported: f64,
    polled_at: MonotonicTime,
}

/// A rule that chooses among upstreams by their [`UpstreamView`].
pub(crate) trait Rule {
    /// Returns the indices of the upstreams that an instance uses.
    fn candidates(upstreams: usize, instance: usize, instances: usize) -> Vec<usize> {
        let _ = (instance, instances);
        (0..upstreams).collect()
    }

    /// Chooses a candidate; `turn` increases with each choice.
    fn choose(views: &[UpstreamView], candidates: &[usize], turn: usize, draw: u64) -> usize;
}

/// A policy that applies a [`Rule`].
#[derive(Debug)]
pub(crate) struct RulePolicy<R> {
    views: Vec<UpstreamView>,
    candidates: Vec<usize>,
    turn: usize,
    rule: std::marker::PhantomData<R>,
}

/// The time between two polls of an upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl<R: Rule> Policy for RulePolicy<R> {
    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self {
        let view = |upstream: &Upstream| UpstreamView {
            slots: upstream.slots as usize,
            in_flight: 0,
            reported: 0.0,
            polled_at: MonotonicTime::ZERO,
        };
        Self {
            views: upstreams.iter().map(view).collect(),
            candidates: R::candidates(upstreams.len(), instance, instances),
            turn: instance,
            rule: std::marker::PhantomData,
        }
    }

    fn choose(&mut self, _: MonotonicTime, draw: u64, tried: &[usize]) -> Choice {
        let mut candidates = self.candidates.clone();
        candidates.retain(|index| !tried.contains(index));
        if candidates.is_empty() {
            candidates.clone_from(&self.candidates);
        }
        self.turn += 1;
        let index = R::choose(&self.views, &candidates, self.turn, draw);
        self.views[index].in_flight += 1;
        Choice::Send(index, None)
    }

    fn record_finished(&mut self, attempt: FinishedAttempt, _: MonotonicTime) {
        let view = &mut self.views[attempt.index];
        view.in_flight -= 1;
        view.reported = attempt.utilization.unwrap_or(view.reported);
    }

    fn due_polls(&mut self, now: MonotonicTime) -> Vec<usize> {
        let mut due = Vec::new();
        for (index, view) in self.views.iter_mut().enumerate() {
            if now - view.polled_at >= POLL_INTERVAL {
                view.polled_at = now;
                due.push(index);
            }
        }
        due
    }

    fn record_poll(&mut self, index: usize, utilization: Option<f64>, _: MonotonicTime) {
        let view = &mut self.views[index];
        view.reported = utilization.unwrap_or(view.reported);
    }
}

/// Chooses each upstream in turn.
#[derive(Debug)]
pub(crate) struct RoundRobin;

impl Rule for RoundRobin {
    fn choose(_: &[UpstreamView], candidates: &[usize], turn: usize, _: u64) -> usize {
        candidates[turn % candidates.len()]
    }
}

/// Chooses the one of two random upstreams with the lower reported load.
#[derive(Debug)]
pub(crate) struct TwoChoicesReported;

impl Rule for TwoChoicesReported {
    fn choose(views: &[UpstreamView], candidates: &[usize], _: usize, draw: u64) -> usize {
        let first = candidates[draw as usize % candidates.len()];
        let second = candidates[(draw >> 32) as usize % candidates.len()];
        if views[first].reported <= views[second].reported {
            first
        } else {
            second
        }
    }
}

/// Chooses the upstream with the fewest requests of this instance per slot.
#[derive(Debug)]
pub(crate) struct LeastInFlight;

impl Rule for LeastInFlight {
    fn choose(views: &[UpstreamView], candidates: &[usize], _: usize, draw: u64) -> usize {
        least_cost(candidates, draw, |index| {
            (views[index].in_flight + 1) as f64 / views[index].slots as f64
        })
    }
}

/// Chooses the upstream with the lowest sum of its reported load and the
/// requests of this instance per slot.
#[derive(Debug)]
pub(crate) struct LeastLoadedFullView;

impl Rule for LeastLoadedFullView {
    fn choose(views: &[UpstreamView], candidates: &[usize], _: usize, draw: u64) -> usize {
        least_cost(candidates, draw, |index| {
            let own_load = (views[index].in_flight + 1) as f64 / views[index].slots as f64;
            own_load + views[index].reported
        })
    }
}

/// Applies [`LeastInFlight`] to a subset of four upstreams for each instance.
#[derive(Debug)]
pub(crate) struct Subset;

impl Rule for Subset {
    fn candidates(upstreams: usize, instance: usize, _: usize) -> Vec<usize> {
        const SIZE: usize = 4;
        (0..SIZE)
            .map(|n| (instance * SIZE + n) % upstreams)
            .collect()
    }

    fn choose(views: &[UpstreamView], candidates: &[usize], turn: usize, draw: u64) -> usize {
        LeastInFlight::choose(views, candidates, turn, draw)
    }
}

/// Returns the candidate with the lowest cost; the draw breaks ties.
fn least_cost(candidates: &[usize], draw: u64, cost: impl Fn(usize) -> f64) -> usize {
    let start = draw as usize % candidates.len();
    let rotated = (0..candidates.len()).map(|n| candidates[(start + n) % candidates.len()]);
    rotated
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
        .expect("there is a candidate")
}

/// Assigns each slot to one instance, which lets requests wait while all its
/// slots are in use.
#[derive(Debug)]
pub(crate) struct SlotCredits {
    credits: Vec<usize>,
}

/// The longest wait if only a completion makes an upstream available.
pub(crate) const COMPLETION_WAIT: Duration = Duration::from_millis(50);

impl Policy for SlotCredits {
    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self {
        let mut credits = vec![0; upstreams.len()];
        let slots = upstreams
            .iter()
            .enumerate()
            .flat_map(|(index, upstream)| (0..upstream.slots).map(move |_| index));
        for (number, index) in slots.enumerate() {
            credits[index] += usize::from(number % instances == instance);
        }
        Self { credits }
    }

    fn choose(&mut self, _: MonotonicTime, _: u64, _: &[usize]) -> Choice {
        let Some(index) = self.credits.iter().position(|credits| *credits > 0) else {
            return Choice::Wait(COMPLETION_WAIT);
        };
        self.credits[index] -= 1;
        Choice::Send(index, None)
    }

    fn record_finished(&mut self, attempt: FinishedAttempt, _: MonotonicTime) {
        self.credits[attempt.index] += 1;
    }

    fn due_polls(&mut self, _: MonotonicTime) -> Vec<usize> {
        Vec::new()
    }

    fn record_poll(&mut self, _: usize, _: Option<f64>, _: MonotonicTime) {}
}
