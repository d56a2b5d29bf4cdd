//! Event loop of the simulation.

use super::fleet::Fleet;
use super::outcome::{
    LoadOutcome,
    LoadWindow, //
};
use super::request::{
    Request,
    RequestId, //
};
use super::settings::{
    LoadSettings,
    milliseconds, //
};
use super::upstream::Upstream;
use foxtide_core::admission::{
    Answer,
    Ending,
    Patience, //
};
use foxtide_core::time::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::cmp::Ordering;
use std::collections::{
    BinaryHeap,
    HashMap, //
};
use std::time::Duration;

/// Sampling period of the upstreams' load, and length of a statistics window.
pub(super) const LOAD_SAMPLE_PERIOD_MS: f64 = 100.0;
pub(super) const WINDOW_S: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    Arrival(usize),
    Retry(RequestId),
    RepeatSlotRequest(RequestId),
    AnswerTimeout(RequestId),
    SlotRequested {
        request: RequestId,
        coordinator: usize,
        patience: Patience,
        expects_answer: bool,
    },
    Ended {
        request: RequestId,
        coordinator: usize,
        ending: Ending,
    },
    Answered {
        request: RequestId,
        answer: Answer,
    },
    ReachUpstream(RequestId),
    Refused(RequestId),
    ServiceComplete(RequestId),
    Replied(RequestId),
    RouteTimeout(RequestId),
    UpstreamFault {
        number: usize,
        begins: bool,
    },
    CoordinatorFault {
        number: usize,
        begins: bool,
    },
    MembershipChange {
        instance: usize,
        is_alive: bool,
    },
    SampleLoad,
}

struct Scheduled {
    at: MonotonicTime,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Reversed, so that the max-heap pops the earliest event.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Runs a simulation with a seed.
pub fn simulate(settings: &LoadSettings, seed: u64) -> LoadOutcome {
    let mut simulation = Simulation::new(settings, seed);
    simulation.run();
    simulation.outcome
}

pub(super) struct Simulation<'a> {
    pub(super) settings: &'a LoadSettings,
    /// Separate generator for arrivals, so that routing decisions do not change the load.
    pub(super) arrivals: StdRng,
    pub(super) random: StdRng,
    pub(super) now: MonotonicTime,
    events: BinaryHeap<Scheduled>,
    scheduled: u64,
    pub(super) fleet: Fleet,
    pub(super) upstreams: Vec<Upstream>,
    pub(super) requests: HashMap<RequestId, Request>,
    /// Events held back for paused coordinators.
    pub(super) undelivered: Vec<(usize, Event)>,
    /// Whether the object was cached, by started request.
    pub(super) known: HashMap<RequestId, bool>,
    pub(super) next_request: u64,
    pub(super) outcome: LoadOutcome,
}

impl<'a> Simulation<'a> {
    fn new(settings: &'a LoadSettings, seed: u64) -> Self {
        let count = settings.regions.iter().map(|region| region.upstreams).sum();
        let windows = (settings.length_s / WINDOW_S).ceil() as usize;
        let mut simulation = Self {
            settings,
            arrivals: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(seed.wrapping_add(1)),
            now: MonotonicTime::from_ms(1_000),
            events: BinaryHeap::new(),
            scheduled: 0,
            fleet: Fleet::new(settings),
            upstreams: (0..count).map(|_| Upstream::new()).collect(),
            requests: HashMap::new(),
            undelivered: Vec::new(),
            known: HashMap::new(),
            next_request: 0,
            outcome: LoadOutcome {
                windows: vec![LoadWindow::default(); windows],
                ..LoadOutcome::default()
            },
        };
        for region in 0..settings.regions.len() {
            simulation.schedule_arrival(region);
        }
        for (number, fault) in settings.upstream_faults.iter().enumerate() {
            simulation.at_s(
                fault.at_s,
                Event::UpstreamFault {
                    number,
                    begins: true,
                },
            );
            let ends_s = fault.at_s + fault.for_s;
            simulation.at_s(
                ends_s,
                Event::UpstreamFault {
                    number,
                    begins: false,
                },
            );
        }
        for (number, fault) in settings.coordinator_faults.iter().enumerate() {
            simulation.at_s(
                fault.at_s,
                Event::CoordinatorFault {
                    number,
                    begins: true,
                },
            );
            let ends_s = fault.at_s + fault.for_s;
            simulation.at_s(
                ends_s,
                Event::CoordinatorFault {
                    number,
                    begins: false,
                },
            );
        }
        simulation.after(milliseconds(LOAD_SAMPLE_PERIOD_MS), Event::SampleLoad);
        simulation
    }

    fn run(&mut self) {
        while let Some(next) = self.events.pop() {
            self.now = next.at;
            self.dispatch(next.event);
        }
    }

    fn at_s(&mut self, at_s: f64, event: Event) {
        self.after(milliseconds(at_s * 1_000.0), event);
    }

    pub(super) fn after(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Scheduled {
            at: self.now + time,
            number: self.scheduled,
            event,
        });
    }

    pub(super) fn elapsed_s(&self) -> f64 {
        (self.now - MonotonicTime::from_ms(1_000)).as_secs_f64()
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrival(region) => self.arrive(region),
            Event::Retry(request) => self.retry(request),
            Event::RepeatSlotRequest(request) => self.repeat_slot_request(request),
            Event::AnswerTimeout(request) => self.answer_timeout(request),
            Event::SlotRequested { coordinator, .. } | Event::Ended { coordinator, .. } => {
                self.deliver(coordinator, event);
            }
            Event::Answered { request, answer } => self.handle_answer(request, answer),
            Event::ReachUpstream(request) => self.reach_upstream(request),
            Event::Refused(request) => self.refused(request),
            Event::ServiceComplete(request) => self.service_complete(request),
            Event::Replied(request) => self.replied(request),
            Event::RouteTimeout(request) => self.route_timeout(request),
            Event::UpstreamFault { number, begins } => self.upstream_fault(number, begins),
            Event::CoordinatorFault { number, begins } => self.coordinator_fault(number, begins),
            Event::MembershipChange { instance, is_alive } => {
                for requester in 0..self.fleet.instances.len() {
                    self.fleet.set_alive(requester, instance, is_alive);
                }
            }
            Event::SampleLoad => self.sample_load(),
        }
    }
}
