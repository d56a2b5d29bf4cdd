//! One upstream of a scenario: slots, a queue, and what is wrong with it.

use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use std::collections::{
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

/// How many requests may wait for each slot before an upstream sheds.
const QUEUE_PER_SLOT: usize = 2;

/// How many requests warm a cold upstream.
const WARM_UP_REQUESTS: u32 = 100;

/// Names an attempt of a request, over the whole scenario.
pub(super) type AttemptNumber = u64;

/// What is wrong with an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum UpstreamFault {
    /// Nothing.
    #[default]
    None,
    /// Its process is gone: connections are refused.
    Dead,
    /// It takes requests and never answers; nothing runs.
    Silent,
    /// Its requests take this many times as long.
    Slow(f64),
    /// It refuses every request.
    Shedding,
    /// It runs requests and their answers are lost.
    LosingAnswers,
    /// Its answers come this much later.
    Late(Duration),
    /// It reports this utilization whatever its load is.
    FixedUtilization(f64),
    /// It has just started with empty caches: its first requests take this
    /// many times as long.
    Cold(f64),
}

/// What becomes of an attempt that reaches an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reception {
    /// It runs now and ends after this time.
    Runs(Duration),
    /// It waits for a slot.
    Waits,
    /// It is refused without having run.
    Refused,
    /// The connection was refused.
    Unreachable,
    /// Nothing is ever heard of it.
    Ignored,
}

/// An upstream and what it is doing.
#[derive(Debug)]
pub(super) struct ModelUpstream {
    pub(super) settings: Upstream,
    pub(super) fault: UpstreamFault,
    /// Since when it says itself that it is draining.
    pub(super) draining_since: Option<MonotonicTime>,
    service_time: Duration,
    running: BTreeSet<AttemptNumber>,
    waiting: VecDeque<AttemptNumber>,
    /// The requests that ran since it was cold.
    requests_started: u32,
}

impl ModelUpstream {
    /// Returns an idle upstream that needs this long for a request.
    pub(super) fn new(settings: Upstream, service_time: Duration) -> Self {
        Self {
            settings,
            fault: UpstreamFault::None,
            draining_since: None,
            service_time,
            running: BTreeSet::new(),
            waiting: VecDeque::new(),
            requests_started: 0,
        }
    }

    /// Sets what is wrong. Returns the attempts that die of it.
    pub(super) fn set_fault(&mut self, fault: UpstreamFault) -> Vec<AttemptNumber> {
        self.fault = fault;
        self.requests_started = 0;
        if fault != UpstreamFault::Dead {
            return Vec::new();
        }
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        running.into_iter().chain(waiting).collect()
    }

    /// Takes an attempt.
    pub(super) fn receive(&mut self, attempt: AttemptNumber) -> Reception {
        match self.fault {
            UpstreamFault::Dead => return Reception::Unreachable,
            UpstreamFault::Silent => return Reception::Ignored,
            UpstreamFault::Shedding => return Reception::Refused,
            _ => {}
        }
        let slots = self.settings.slots as usize;
        if self.running.len() < slots {
            return Reception::Runs(self.start(attempt));
        }
        if self.waiting.len() < slots * QUEUE_PER_SLOT {
            self.waiting.push_back(attempt);
            return Reception::Waits;
        }
        Reception::Refused
    }

    fn start(&mut self, attempt: AttemptNumber) -> Duration {
        self.running.insert(attempt);
        self.requests_started = self.requests_started.saturating_add(1);
        match self.fault {
            UpstreamFault::Slow(factor) => self.service_time.mul_f64(factor),
            UpstreamFault::Cold(factor) if self.requests_started <= WARM_UP_REQUESTS => {
                self.service_time.mul_f64(factor)
            }
            _ => self.service_time,
        }
    }

    /// Ends an attempt, also one that was cancelled. Returns the next one to
    /// run and how long it takes, where a slot was freed.
    pub(super) fn finish(&mut self, attempt: AttemptNumber) -> Option<(AttemptNumber, Duration)> {
        self.waiting.retain(|waiting| *waiting != attempt);
        let was_running = self.running.remove(&attempt);
        let next = if was_running {
            self.waiting.pop_front()
        } else {
            None
        };
        next.map(|next| (next, self.start(next)))
    }

    /// Tells whether an attempt runs here.
    pub(super) fn is_running(&self, attempt: AttemptNumber) -> bool {
        self.running.contains(&attempt)
    }

    /// Returns how many attempts run or wait here.
    pub(super) fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the utilization that it reports.
    pub(super) fn reported_utilization(&self) -> f64 {
        match self.fault {
            UpstreamFault::FixedUtilization(utilization) => utilization,
            _ => self.in_flight() as f64 / f64::from(self.settings.slots.max(1)),
        }
    }
}
