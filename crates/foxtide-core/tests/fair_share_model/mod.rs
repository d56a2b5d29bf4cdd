//! Organisations that send to upstreams near capacity, without network.

use fastrand::Rng;
use foxtide_core::admission::{
    AddressedAnswer,
    Answer,
    Coordinator,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::placement::ObjectKey;
use foxtide_core::routing::RequestKind;
use foxtide_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet,
    BinaryHeap,
    VecDeque, //
};
use std::time::Duration;

pub(crate) const ORGANISATIONS: usize = 8;
pub(crate) const SLOTS: usize = 3;

/// A catalogue request takes 360 ms, or 0.3 of it for a recent object, give or take 15 %.
const FIRST_MS: f64 = 360.0;
const REPEATED_MS: f64 = 108.0;
const OBJECTIVE: Duration = Duration::from_millis(300);
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// The objects of an organisation at each upstream, and the objects that an upstream keeps: all
/// whose first or second choice it is, so that the order of slots decides and not the cache.
const OBJECTS: usize = 2;
const KEPT_OBJECTS: usize = 2 * OBJECTS * ORGANISATIONS;

/// Requests are counted from here on; the flood begins then.
const COUNTED_FROM_MS: u64 = 10_000;
const END_MS: u64 = 190_000;

/// The load of one run.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) upstreams: usize,
    /// The part of the slots that equal parts of all organisations keep busy.
    pub(crate) utilisation: f64,
    /// What each organisation sends, as a multiple of an equal part of the load.
    pub(crate) rates: [f64; ORGANISATIONS],
    /// The same from [`COUNTED_FROM_MS`] on.
    pub(crate) flood_rates: [f64; ORGANISATIONS],
    pub(crate) is_identified: bool,
    /// When a coordinator that knows nothing takes over.
    pub(crate) new_coordinator_at_ms: Option<u64>,
}

/// What became of the requests of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Outcome {
    pub(crate) sent: u64,
    pub(crate) in_time: u64,
    /// The time that upstreams worked for it, in microseconds.
    pub(crate) busy_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// An organisation sends its next request.
    Arrival(usize),
    /// The caller of a rejected request sends it again.
    Return(usize),
    Finish(u64),
    NewCoordinator,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    organisation: usize,
    object: usize,
    sent_us: u64,
    noise: f64,
    choice: usize,
    patience: Patience,
    is_return: bool,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    queue: VecDeque<u64>,
    running: usize,
    kept: VecDeque<usize>,
}

impl Upstream {
    /// Returns whether the object is kept, and keeps it.
    fn access(&mut self, object: usize) -> bool {
        let is_kept = self.kept.contains(&object);
        self.kept.retain(|kept| *kept != object);
        self.kept.push_back(object);
        if self.kept.len() > KEPT_OBJECTS {
            self.kept.pop_front();
        }
        is_kept
    }
}

/// Runs the load and returns the outcomes by organisation.
pub(crate) fn run(load: Load) -> [Outcome; ORGANISATIONS] {
    let mut model = Model::new(load);
    while let Some(Reverse((us, _, event))) = model.events.pop() {
        if us > END_MS * 1_000 {
            break;
        }
        model.now_us = us;
        model.handle(event);
    }
    model.outcomes
}

struct Model {
    load: Load,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    arrivals: Vec<Rng>,
    calls: BTreeMap<u64, Call>,
    waiting: BTreeSet<u64>,
    coordinator: Coordinator,
    upstreams: Vec<Upstream>,
    outcomes: [Outcome; ORGANISATIONS],
    returns: Vec<Call>,
}

impl Model {
    fn new(load: Load) -> Self {
        let rng = |organisation| Rng::with_seed(load.seed * 100 + organisation as u64);
        let mut model = Self {
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            arrivals: (0..ORGANISATIONS).map(rng).collect(),
            calls: BTreeMap::new(),
            waiting: BTreeSet::new(),
            coordinator: Coordinator::default(),
            upstreams: vec![Upstream::default(); load.upstreams],
            outcomes: Default::default(),
            returns: Vec::new(),
            load,
        };
        for organisation in 0..ORGANISATIONS {
            model.schedule_arrival(organisation);
        }
        if let Some(ms) = model.load.new_coordinator_at_ms {
            model.schedule(ms * 1_000, Event::NewCoordinator);
        }
        model
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn is_counted(&self) -> bool {
        self.now_us >= COUNTED_FROM_MS * 1_000
    }

    fn schedule_arrival(&mut self, organisation: usize) {
        let rates = if self.is_counted() {
            self.load.flood_rates
        } else {
            self.load.rates
        };
        if rates[organisation] == 0.0 {
            return;
        }
        let all_per_s =
            self.load.utilisation * (SLOTS * self.load.upstreams) as f64 / (REPEATED_MS / 1e3);
        let per_s = rates[organisation] * all_per_s / ORGANISATIONS as f64;
        let draw = 1.0 - self.arrivals[organisation].f64();
        let gap_us = (-draw.ln() / per_s * 1e6) as u64;
        self.schedule(self.now_us + gap_us, Event::Arrival(organisation));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(organisation) => {
                self.schedule_arrival(organisation);
                let call = self.new_call(organisation);
                self.send(call);
            }
            Event::Return(index) => {
                let call = self.returns[index];
                self.send(call);
            }
            Event::Finish(number) => self.finish(number),
            Event::NewCoordinator => {
                self.coordinator = Coordinator::default();
                for number in std::mem::take(&mut self.waiting) {
                    let call = self.calls.remove(&number).unwrap();
                    self.ask(call);
                }
            }
        }
    }

    fn new_call(&mut self, organisation: usize) -> Call {
        let objects = OBJECTS * self.load.upstreams;
        let rng = &mut self.arrivals[organisation];
        Call {
            organisation,
            object: organisation * objects + rng.usize(..objects),
            sent_us: self.now_us,
            noise: 0.85 + 0.3 * rng.f64(),
            choice: 0,
            patience: Patience::WithinObjective,
            is_return: false,
        }
    }

    /// Sends a request for the first time, or again after it was rejected.
    fn send(&mut self, call: Call) {
        if self.is_counted() {
            self.outcomes[call.organisation].sent += 1;
        }
        self.ask(Call {
            sent_us: self.now_us,
            ..call
        });
    }

    fn upstream_of(&self, call: &Call) -> usize {
        (call.object + call.choice) % self.load.upstreams
    }

    fn ask(&mut self, call: Call) {
        self.sequence += 1;
        let number = self.sequence;
        let upstream = self.upstream_of(&call);
        let left = |limit: Duration| {
            limit.saturating_sub(Duration::from_micros(self.now_us - call.sent_us))
        };
        let organisation = format!("organisation-{}", call.organisation);
        let request = SlotRequest {
            ticket: ticket(number),
            upstream: format!("i-{upstream}").parse().unwrap(),
            born_at: None,
            kind: RequestKind::default(),
            organisation: self
                .load
                .is_identified
                .then(|| organisation.parse().unwrap()),
            organisation_rate: None,
            object: Some(ObjectKey::from_hash(call.object as u64)),
            priority: 1,
            objective_left: left(OBJECTIVE),
            time_left: left(TIMEOUT),
            patience: call.patience,
            limit: None,
        };
        self.calls.insert(number, call);
        let now = MonotonicTime::from_us(self.now_us);
        let answers = self.coordinator.ask(&request, SLOTS as u32, now);
        self.apply(answers);
    }

    fn apply(&mut self, answers: Vec<AddressedAnswer>) {
        for (ticket, answer) in answers {
            let number = ticket.number;
            match answer {
                Answer::Granted => {
                    self.waiting.remove(&number);
                    let upstream = self.upstream_of(&self.calls[&number]);
                    self.upstreams[upstream].queue.push_back(number);
                    self.start_next(upstream);
                }
                Answer::Waiting => {
                    self.waiting.insert(number);
                }
                Answer::Busy { .. } => {
                    self.waiting.remove(&number);
                    let call = self.calls.remove(&number).unwrap();
                    self.ask(next_choice(call, self.load.upstreams));
                }
                Answer::Rejected { retry_after } => {
                    self.waiting.remove(&number);
                    let call = self.calls.remove(&number).unwrap();
                    self.come_back(call, retry_after);
                }
                other => panic!("{other:?}"),
            }
        }
    }

    /// The caller of a rejected request sends it once more when it was told to.
    fn come_back(&mut self, call: Call, retry_after: Duration) {
        if call.is_return {
            return;
        }
        self.returns.push(Call {
            choice: 0,
            patience: Patience::WithinObjective,
            is_return: true,
            ..call
        });
        let at_us = self.now_us + retry_after.as_micros() as u64;
        self.schedule(at_us, Event::Return(self.returns.len() - 1));
    }

    fn start_next(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        if upstream.running == SLOTS {
            return;
        }
        let Some(number) = upstream.queue.pop_front() else {
            return;
        };
        upstream.running += 1;
        let call = self.calls[&number];
        let is_kept = upstream.access(call.object);
        let usual_ms = if is_kept { REPEATED_MS } else { FIRST_MS };
        let time_us = (usual_ms * call.noise * 1e3) as u64;
        if self.is_counted() {
            self.outcomes[call.organisation].busy_us += time_us;
        }
        self.schedule(self.now_us + time_us, Event::Finish(number));
    }

    fn finish(&mut self, number: u64) {
        let call = self.calls.remove(&number).unwrap();
        let upstream = self.upstream_of(&call);
        self.upstreams[upstream].running -= 1;
        self.start_next(upstream);
        let is_in_time = self.now_us - call.sent_us <= OBJECTIVE.as_micros() as u64;
        if is_in_time && call.sent_us >= COUNTED_FROM_MS * 1_000 {
            self.outcomes[call.organisation].in_time += 1;
        }
        let now = MonotonicTime::from_us(self.now_us);
        let answers = self.coordinator.end(ticket(number), Ending::Served, now);
        self.apply(answers);
    }
}

/// Returns what a request does that finds an upstream busy: it tries its second choice, then
/// waits at its first.
fn next_choice(call: Call, upstreams: usize) -> Call {
    let has_second_choice = upstreams > 1 && call.patience == Patience::WithinObjective;
    let (choice, patience) = if has_second_choice {
        (1, Patience::NoWait)
    } else {
        (0, Patience::UntilDeadline)
    };
    Call {
        choice,
        patience,
        ..call
    }
}

fn ticket(number: u64) -> Ticket {
    Ticket {
        requester: "127.0.0.1:7620".parse().unwrap(),
        number,
    }
}
