//! Simulates an upstream with slots, a queue and injected faults.

use foxtide_core::organisation::Upstream;
use foxtide_core::time::MonotonicTime;
use std::collections::{
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

/// Length of an upstream's queue per slot; further requests are rejected.
const QUEUE_PER_SLOT: usize = 2;

/// Requests after which a cold upstream runs at its usual speed.
const WARM_UP_REQUESTS: u32 = 100;

/// Identifies an attempt within a scenario.
pub(super) type AttemptNumber = u64;

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum UpstreamFault {
    #[default]
    None,
    /// It refuses connections.
    Dead,
    /// It accepts requests, but neither runs nor answers them.
    Silent,
    /// Its requests take longer by this factor.
    Slow(f64),
    /// It rejects every request.
    Shedding,
    /// It runs requests, but their answers are lost.
    LosingAnswers,
    /// Its answers are delayed by this time.
    Late(Duration),
    /// It reports this utilization regardless of its load.
    FixedUtilization(f64),
    /// Its caches are empty: its first requests take longer by this factor.
    Cold(f64),
}

/// How an upstream responds to an attempt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reception {
    /// It starts at once and takes this time.
    Started(Duration),
    /// It waits in the queue for a slot.
    Queued,
    /// It is rejected without being run.
    Rejected,
    /// The connection was refused.
    ConnectionRefused,
    /// It is never answered.
    Ignored,
}

/// An upstream and its attempts.
#[derive(Debug)]
pub(super) struct ModelUpstream {
    pub(super) settings: Upstream,
    pub(super) fault: UpstreamFault,
    /// When it announced that it is draining.
    pub(super) draining_since: Option<MonotonicTime>,
    service_time: Duration,
    running: BTreeSet<AttemptNumber>,
    waiting: VecDeque<AttemptNumber>,
    /// Requests started since the fault was last set.
    requests_started: u32,
}

impl ModelUpstream {
    /// Returns an idle upstream with the given time per request.
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

    /// Sets the fault and returns the attempts that it aborts.
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

    /// Starts, queues or rejects an attempt.
    pub(super) fn receive(&mut self, attempt: AttemptNumber) -> Reception {
        match self.fault {
            UpstreamFault::Dead => return Reception::ConnectionRefused,
            UpstreamFault::Silent => return Reception::Ignored,
            UpstreamFault::Shedding => return Reception::Rejected,
            _ => {}
        }
        let slots = self.settings.slots as usize;
        if self.running.len() < slots {
            return Reception::Started(self.start(attempt));
        }
        if self.waiting.len() < slots * QUEUE_PER_SLOT {
            self.waiting.push_back(attempt);
            return Reception::Queued;
        }
        Reception::Rejected
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

    /// Removes an attempt that has ended or was cancelled. If that frees a slot, starts
    /// the next attempt in the queue and returns it with the time that it takes.
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

    pub(super) fn is_running(&self, attempt: AttemptNumber) -> bool {
        self.running.contains(&attempt)
    }

    /// Returns the number of running and queued attempts.
    pub(super) fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub(super) fn reported_utilization(&self) -> f64 {
        match self.fault {
            UpstreamFault::FixedUtilization(utilization) => utilization,
            _ => self.in_flight() as f64 / f64::from(self.settings.slots.max(1)),
        }
    }
}
