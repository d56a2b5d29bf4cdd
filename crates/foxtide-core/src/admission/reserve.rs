//! Slots of an upstream that are reserved for urgent kinds of requests.
//!
//! Priority orders only the requests that wait. An urgent request that finds all slots taken by
//! long work is late before a slot is free. Some slots are therefore not given to such work while
//! there is urgent demand.

use super::service_times::{
    ObjectAccess,
    ServiceTimes, //
};
use crate::routing::RequestKind;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time over which demand is measured: long enough for the next request of a kind that an
/// upstream serves once in some seconds, and short enough to end soon after the kind does.
const WINDOW: Duration = Duration::from_secs(5);

/// The number of parts of the window, which bounds its state. Demand ends a part at a time.
const PARTS: u64 = 10;

/// The share of the time between service time and objective that an urgent request may spend on
/// waiting for slots. The rest covers network latency and varying service times, as for the wait at
/// a first choice.
const WAIT_SHARE: f64 = 0.5;

/// The urgency and expected service time of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Work {
    pub(super) priority: u32,
    pub(super) service: Duration,
}

/// The demand of the kinds of requests at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    kinds: BTreeMap<RequestKind, KindDemand>,
}

impl Reserve {
    /// Records the arrival of a request.
    pub(super) fn record(
        &mut self,
        kind: RequestKind,
        work: Work,
        objective: Duration,
        now: MonotonicTime,
    ) {
        let number = part_number(now);
        self.kinds.retain(|_, demand| demand.is_recent(number));
        let demand = self.kinds.entry(kind).or_default();
        demand.priority = work.priority;
        let part = demand.part_mut(number);
        part.work += work.service;
        part.objective = part.objective.max(objective);
    }

    /// Returns the number of slots that are reserved against work on an upstream with `slots`
    /// slots; `None` if it delays no urgent demand. One slot is never reserved, and no slot is
    /// reserved without known service times.
    pub(super) fn against(
        &self,
        work: Work,
        slots: usize,
        times: &ServiceTimes,
        now: MonotonicTime,
    ) -> Option<usize> {
        let number = part_number(now);
        let wait = expected_wait(work.service, slots);
        let kinds = self.kinds.iter();
        let urgent = kinds.filter(|(_, demand)| demand.priority < work.priority);
        let delayed = urgent.filter(|(kind, demand)| {
            let service = times.expected(**kind, ObjectAccess::Repeated);
            let service = service.or_else(|| times.expected(**kind, ObjectAccess::First));
            service.is_some_and(|service| {
                work.service > service && demand.is_delayed(service, wait, number)
            })
        });
        let busy_slots: f64 = delayed.map(|(_, demand)| demand.busy_slots(number)).sum();
        if busy_slots <= 0.0 {
            return None;
        }
        let reserved = busy_slots.ceil() as usize;
        Some(reserved.min(slots.saturating_sub(1)))
    }

    /// Returns the largest number of slots that are reserved against a kind with recent requests.
    pub(super) fn largest(&self, slots: usize, times: &ServiceTimes, now: MonotonicTime) -> usize {
        let number = part_number(now);
        let recent = self.kinds.iter().filter(|(_, one)| one.is_recent(number));
        let reserved = recent.filter_map(|(kind, demand)| {
            let work = Work {
                priority: demand.priority,
                service: times.expected(*kind, ObjectAccess::First)?,
            };
            self.against(work, slots, times, now)
        });
        reserved.max().unwrap_or(0)
    }
}

/// Returns the time until a slot is free for a request that finds all slots, and the place beyond
/// them, taken by work that began at random times: that of the second release.
fn expected_wait(service: Duration, slots: usize) -> Duration {
    service.mul_f64(2.0 / (slots as f64 + 1.0))
}

/// The demand of one kind within the window.
#[derive(Clone, Debug, Default)]
struct KindDemand {
    priority: u32,
    parts: [Part; PARTS as usize],
}

/// The requests that arrived within a part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    /// The sum of the expected service times.
    work: Duration,
    /// The longest time left until an objective; that of retries is shorter.
    objective: Duration,
}

impl KindDemand {
    /// Returns the part with a number, in place of one that the window has left.
    fn part_mut(&mut self, number: u64) -> &mut Part {
        let part = &mut self.parts[(number % PARTS) as usize];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }

    fn recent(&self, number: u64) -> impl Iterator<Item = &Part> {
        let recent = move |part: &&Part| part.number + PARTS > number;
        self.parts.iter().filter(recent)
    }

    fn is_recent(&self, number: u64) -> bool {
        self.recent(number).any(|part| !part.objective.is_zero())
    }

    /// Returns the number of slots that the kind keeps busy on average.
    fn busy_slots(&self, number: u64) -> f64 {
        let work: Duration = self.recent(number).map(|part| part.work).sum();
        work.as_secs_f64() / WINDOW.as_secs_f64()
    }

    /// Returns whether a wait makes requests late that would be in time without it.
    fn is_delayed(&self, service: Duration, wait: Duration, number: u64) -> bool {
        let objectives = self.recent(number).map(|part| part.objective);
        let objective = objectives.max().unwrap_or_default();
        service < objective && wait > (objective - service).mul_f64(WAIT_SHARE)
    }
}

/// Returns the number of the part of the window that a time is in; the first is 1.
fn part_number(now: MonotonicTime) -> u64 {
    let part_ms = WINDOW.as_millis() as u64 / PARTS;
    1 + now.as_ms() / part_ms
}
