//! The ways to choose an upstream that are compared.

use foxtide_core::choice::{
    CompletionKind,
    Ticket, //
};
use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// What a way wants done with a request.
#[derive(Debug)]
pub(crate) enum Choice {
    /// Send it to the upstream of this index.
    Send(usize, Option<Ticket>),
    /// Ask again after this time or the next completion.
    Wait(Duration),
}

/// What a way is told of a finished attempt.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(crate) index: usize,
    pub(crate) ticket: Option<Ticket>,
    pub(crate) kind: CompletionKind,
    pub(crate) latency: Duration,
    pub(crate) utilization: Option<f64>,
}

/// One way to choose, as one instance runs it.
pub(crate) trait Way {
    /// How many refused attempts a request may have beside the budget.
    const REFUSALS_MAX: u32 = 0;

    /// Returns the state of the instance of this number out of `instances`.
    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self;

    /// Chooses an upstream.
    fn choose(&mut self, now: MonotonicTime, draw: u64, tried: &[usize]) -> Choice;

    /// Learns from a finished attempt.
    fn finished(&mut self, end: Finished, now: MonotonicTime);

    /// Tells whether a hedge may be sent.
    fn may_hedge(&self) -> bool {
        true
    }

    /// Returns the upstreams to be polled now.
    fn polls(&mut self, now: MonotonicTime) -> Vec<usize>;

    /// Learns from a poll; `None` where it was not answered.
    fn polled(&mut self, index: usize, utilization: Option<f64>, now: MonotonicTime);
}

/// What the simpler ways keep of each upstream.
#[derive(Clone, Debug)]
pub(crate) struct View {
    slots: usize,
    in_flight: usize,
    reported: f64,
    polled_at: MonotonicTime,
}

/// A simple way: a rule that ranks upstreams by what is kept of them.
pub(crate) trait Rule {
    /// Returns the upstreams among which an instance chooses.
    fn candidates(upstreams: usize, instance: usize, instances: usize) -> Vec<usize> {
        let _ = (instance, instances);
        (0..upstreams).collect()
    }

    /// Chooses among candidates; `turn` counts the choices so far.
    fn choose(views: &[View], among: &[usize], turn: usize, draw: u64) -> usize;
}

/// A way that follows a [`Rule`] and knows no more than its views.
#[derive(Debug)]
pub(crate) struct Simple<R> {
    views: Vec<View>,
    candidates: Vec<usize>,
    turn: usize,
    rule: std::marker::PhantomData<R>,
}

/// The time between two polls of the simple ways.
const POLL_EACH: Duration = Duration::from_millis(500);

impl<R: Rule> Way for Simple<R> {
    fn new(upstreams: &[Upstream], instance: usize, instances: usize) -> Self {
        let view = |upstream: &Upstream| View {
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
        let mut among = self.candidates.clone();
        among.retain(|index| !tried.contains(index));
        if among.is_empty() {
            among.clone_from(&self.candidates);
        }
        self.turn += 1;
        let index = R::choose(&self.views, &among, self.turn, draw);
        self.views[index].in_flight += 1;
        Choice::Send(index, None)
    }

    fn finished(&mut self, end: Finished, _: MonotonicTime) {
        let view = &mut self.views[end.index];
        view.in_flight -= 1;
        view.reported = end.utilization.unwrap_or(view.reported);
    }

    fn polls(&mut self, now: MonotonicTime) -> Vec<usize> {
        let mut due = Vec::new();
        for (index, view) in self.views.iter_mut().enumerate() {
            if now - view.polled_at >= POLL_EACH {
                view.polled_at = now;
                due.push(index);
            }
        }
        due
    }

    fn polled(&mut self, index: usize, utilization: Option<f64>, _: MonotonicTime) {
        let view = &mut self.views[index];
        view.reported = utilization.unwrap_or(view.reported);
    }
}

/// Each upstream in turn.
#[derive(Debug)]
pub(crate) struct RoundRobin;

impl Rule for RoundRobin {
    fn choose(_: &[View], among: &[usize], turn: usize, _: u64) -> usize {
        among[turn % among.len()]
    }
}

/// The better of two by reported load alone.
#[derive(Debug)]
pub(crate) struct TwoChoicesReported;

impl Rule for TwoChoicesReported {
    fn choose(views: &[View], among: &[usize], _: usize, draw: u64) -> usize {
        let first = among[draw as usize % among.len()];
        let second = among[(draw >> 32) as usize % among.len()];
        if views[first].reported <= views[second].reported {
            first
        } else {
            second
        }
    }
}

/// The one with the fewest of this instance's own requests a slot.
#[derive(Debug)]
pub(crate) struct LeastInFlight;

impl Rule for LeastInFlight {
    fn choose(views: &[View], among: &[usize], _: usize, draw: u64) -> usize {
        least(among, draw, |index| {
            (views[index].in_flight + 1) as f64 / views[index].slots as f64
        })
    }
}

/// The one with the least reported load and own requests a slot.
#[derive(Debug)]
pub(crate) struct LeastLoadedFullView;

impl Rule for LeastLoadedFullView {
    fn choose(views: &[View], among: &[usize], _: usize, draw: u64) -> usize {
        least(among, draw, |index| {
            let own = (views[index].in_flight + 1) as f64 / views[index].slots as f64;
            own + views[index].reported
        })
    }
}

/// The fewest own requests among a subset of four upstreams an instance.
#[derive(Debug)]
pub(crate) struct Subset;

impl Rule for Subset {
    fn candidates(upstreams: usize, instance: usize, _: usize) -> Vec<usize> {
        const SIZE: usize = 4;
        (0..SIZE)
            .map(|n| (instance * SIZE + n) % upstreams)
            .collect()
    }

    fn choose(views: &[View], among: &[usize], turn: usize, draw: u64) -> usize {
        LeastInFlight::choose(views, among, turn, draw)
    }
}

/// Returns the candidate of the least cost, equals by draw.
fn least(among: &[usize], draw: u64, cost: impl Fn(usize) -> f64) -> usize {
    let start = draw as usize % among.len();
    let turned = (0..among.len()).map(|n| among[(start + n) % among.len()]);
    turned
        .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
        .expect("there is a candidate")
}

/// Each slot belongs to one instance, which waits where its own are in use.
#[derive(Debug)]
pub(crate) struct SlotCredits {
    credits: Vec<usize>,
}

/// The wait where only a completion can help.
pub(crate) const WAIT: Duration = Duration::from_millis(50);

impl Way for SlotCredits {
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
            return Choice::Wait(WAIT);
        };
        self.credits[index] -= 1;
        Choice::Send(index, None)
    }

    fn finished(&mut self, end: Finished, _: MonotonicTime) {
        self.credits[end.index] += 1;
    }

    fn polls(&mut self, _: MonotonicTime) -> Vec<usize> {
        Vec::new()
    }

    fn polled(&mut self, _: usize, _: Option<f64>, _: MonotonicTime) {}
}
