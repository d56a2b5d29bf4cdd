//! A fleet with delayed membership updates that sends to one upstream.

use foxtide_core::admission::{
    Answer,
    Coordinator,
    Ending,
    Patience,
    SlotRequest,
    Ticket, //
};
use foxtide_core::ids::{
    InstanceId,
    RegionId,
    UpstreamId, //
};
use foxtide_core::registry::{
    Member,
    Members,
    StorePhase, //
};
use foxtide_core::routing::RequestKind;
use foxtide_core::throttle::{
    LimitStatement,
    LocalThrottle, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::RequestRate;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const REGIONS: [&str; 3] = ["khomas", "erongo", "oshana"];

/// Latencies of one way within the upstream's region and from another region.
const SAME_REGION_MS: u64 = 2;
const OTHER_REGION_MS: u64 = 55;

/// The maximum age of a coordinator's data.
const KNOWLEDGE_AGE_MAX_MS: u64 = 3_500;

/// The time for which an instance does not ask a coordinator that did not answer.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// More slots than the fleet ever uses.
const SLOTS: u32 = 100_000;

/// A request that reached the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    /// Whether the upstream had stated its limit to the instance half a second before.
    pub(crate) is_told: bool,
}

struct Process {
    started_at: MonotonicTime,
    members: Rc<Members>,
    coordinator: Coordinator,
    throttle: LocalThrottle,
    told_at_ms: Option<u64>,
}

struct Instance {
    member: Member,
    is_alive: bool,
    /// When it lost contact with all other instances and the store.
    cut_since_ms: Option<u64>,
    process: Process,
}

/// A membership change that an instance receives.
struct MemberUpdate {
    at_ms: u64,
    reader: usize,
    about: usize,
    is_alive: bool,
}

/// A response on its way to an instance.
struct Response {
    at_ms: u64,
    instance: usize,
    sent_ms: u64,
    limit: Option<RequestRate>,
    started_at: MonotonicTime,
}

/// Instances in three regions and an upstream in the first.
pub(crate) struct Fleet {
    instances: Vec<Instance>,
    updates: Vec<MemberUpdate>,
    responses: Vec<Response>,
    upstream: UpstreamId,
    limit: Option<RequestRate>,
    /// The share of datagrams that are lost.
    loss: f64,
    next_ticket: u64,
    pub(crate) random: fastrand::Rng,
    pub(crate) arrivals: Vec<Arrival>,
}

impl Fleet {
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        let mut view = Members::default();
        for member in &members {
            view.join(member.clone(), MonotonicTime::ZERO);
        }
        let view = Rc::new(view);
        let instance = |member: Member| Instance {
            member,
            is_alive: true,
            cut_since_ms: None,
            process: Process::new(0, Rc::clone(&view)),
        };
        Self {
            instances: members.into_iter().map(instance).collect(),
            updates: Vec::new(),
            responses: Vec::new(),
            upstream: "i-1".parse().unwrap(),
            limit: None,
            loss: 0.0,
            next_ticket: 0,
            random: fastrand::Rng::with_seed(seed),
            arrivals: Vec::new(),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.instances.len()
    }

    pub(crate) fn set_limit(&mut self, limit_rps: Option<f64>) {
        self.limit = limit_rps.map(RequestRate::clamped);
    }

    pub(crate) fn set_loss(&mut self, loss: f64) {
        self.loss = loss;
    }

    /// Kills a process; its registration remains until its lease expires.
    pub(crate) fn kill(&mut self, instance: usize, now_ms: u64) {
        self.instances[instance].is_alive = false;
        let expires_ms = now_ms + self.random.u64(2_200..=2_600);
        self.announce(instance, false, expires_ms);
    }

    /// Starts a killed process, which receives the current members.
    pub(crate) fn start(&mut self, instance: usize, now_ms: u64) {
        self.cancel_updates(instance, now_ms);
        let view = Rc::clone(&self.instances[instance].process.members);
        let one = &mut self.instances[instance];
        one.is_alive = true;
        one.process = Process::new(now_ms, view);
        let own = one.member.clone();
        Rc::make_mut(&mut one.process.members).join(own, time(now_ms));
        self.announce(instance, true, now_ms + 300);
    }

    pub(crate) fn cut(&mut self, instance: usize, now_ms: u64) {
        self.instances[instance].cut_since_ms = Some(now_ms);
        let expires_ms = now_ms + self.random.u64(2_200..=2_600);
        self.announce(instance, false, expires_ms);
    }

    pub(crate) fn heal(&mut self, instance: usize, now_ms: u64) {
        self.instances[instance].cut_since_ms = None;
        self.cancel_updates(instance, now_ms);
        self.announce(instance, true, now_ms + 300);
    }

    fn cancel_updates(&mut self, about: usize, now_ms: u64) {
        self.updates
            .retain(|update| !(update.about == about && update.at_ms > now_ms));
    }

    /// Delivers a change to all instances, each after a random delay.
    fn announce(&mut self, about: usize, is_alive: bool, at_ms: u64) {
        for reader in 0..self.instances.len() {
            let at_ms = at_ms + self.random.u64(0..=1_500);
            self.updates.push(MemberUpdate {
                at_ms,
                reader,
                about,
                is_alive,
            });
        }
    }

    /// Applies what is due; membership updates of cut instances are retried later.
    pub(crate) fn deliver(&mut self, now_ms: u64) {
        let due = self.updates.extract_if(.., |one| one.at_ms <= now_ms);
        for mut update in due.collect::<Vec<_>>() {
            let member = self.instances[update.about].member.clone();
            let reader = &mut self.instances[update.reader];
            if reader.cut_since_ms.is_some() {
                update.at_ms = now_ms + 500;
                self.updates.push(update);
                continue;
            }
            let members = Rc::make_mut(&mut reader.process.members);
            if update.is_alive {
                members.join(member, time(now_ms));
            } else {
                members.leave(&member.instance, StorePhase::Available, time(now_ms));
            }
        }
        let due = self.responses.extract_if(.., |one| one.at_ms <= now_ms);
        for response in due.collect::<Vec<_>>() {
            self.receive(&response);
        }
    }

    fn receive(&mut self, response: &Response) {
        let process = &mut self.instances[response.instance].process;
        if process.started_at != response.started_at {
            return;
        }
        let held_ms = if response.limit.is_some() {
            process.told_at_ms.get_or_insert(response.at_ms);
            response.at_ms
        } else {
            process.told_at_ms = None;
            response.sent_ms
        };
        let statement = LimitStatement {
            limit: response.limit,
            held_at: time(held_ms),
        };
        process.throttle.record(&self.upstream, None, statement);
    }

    /// Handles a request for the upstream at an instance, as the gateway does.
    pub(crate) fn request(&mut self, at: usize, now_ms: u64) {
        let now = time(now_ms);
        let instance = &self.instances[at];
        if !instance.is_alive {
            return;
        }
        let throttle = &instance.process.throttle;
        if throttle.exhausted_for(&self.upstream, now).is_some() {
            return;
        }
        let report = throttle.report(&self.upstream, None, now);
        let is_limited = report.is_some_and(|report| report.limit.is_some());
        // Requests from other regions to an unlimited upstream need no grant.
        let is_asked = is_limited || region_of(at) == REGIONS[0];
        let answer = if is_asked {
            self.ask(at, now_ms)
        } else {
            Some(Answer::Granted)
        };
        let throttle = &mut self.instances[at].process.throttle;
        match answer {
            Some(Answer::Granted) => self.send(at, now_ms),
            Some(Answer::Throttled { retry_after }) => {
                throttle.set_exhausted(&self.upstream, retry_after, now);
            }
            _ if self.try_take_uncoordinated(at, now) => self.send(at, now_ms),
            _ => {
                let throttle = &mut self.instances[at].process.throttle;
                throttle.set_exhausted(&self.upstream, UNANSWERED_PAUSE, now);
            }
        }
    }

    fn try_take_uncoordinated(&mut self, at: usize, now: MonotonicTime) -> bool {
        let instance = &mut self.instances[at];
        let names = instance.process.members.names();
        let own = &instance.member.instance;
        let throttle = &mut instance.process.throttle;
        throttle.try_take_uncoordinated(&self.upstream, None, own, &names, now)
    }

    /// Asks the coordinator twice at most; `None` without an answer.
    fn ask(&mut self, from: usize, now_ms: u64) -> Option<Answer> {
        let region: RegionId = REGIONS[0].parse().unwrap();
        let members = &self.instances[from].process.members;
        let to = number(members.coordinator(&self.upstream, &region)?);
        self.next_ticket += 1;
        let request = self.slot_request(from, now_ms);
        for _ in 0..2 {
            let is_request_lost = self.is_lost(from, to);
            let is_answer_lost = self.is_lost(from, to);
            if is_request_lost {
                continue;
            }
            let answer = self.answer(to, &request, now_ms);
            if !is_answer_lost {
                return Some(answer);
            }
        }
        None
    }

    fn slot_request(&self, from: usize, now_ms: u64) -> SlotRequest {
        let throttle = &self.instances[from].process.throttle;
        SlotRequest {
            ticket: Ticket {
                requester: self.instances[from].member.datagram_address,
                number: self.next_ticket,
            },
            upstream: self.upstream.clone(),
            born_at: None,
            kind: RequestKind::default(),
            organisation: None,
            organisation_rate: None,
            object: None,
            priority: 1,
            objective_left: Duration::from_millis(500),
            time_left: Duration::from_secs(2),
            patience: Patience::UntilDeadline,
            limit: throttle.report(&self.upstream, None, time(now_ms)),
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        if from == to {
            return false;
        }
        let is_cut = |one: &Instance| !one.is_alive || one.cut_since_ms.is_some();
        is_cut(&self.instances[from])
            || is_cut(&self.instances[to])
            || self.random.f64() < self.loss
    }

    fn answer(&mut self, to: usize, request: &SlotRequest, now_ms: u64) -> Answer {
        let now = time(now_ms);
        let since = self.coordinates_since(to, now_ms);
        let coordinator = &mut self.instances[to].process.coordinator;
        if coordinator.is_limited(request) {
            coordinator.set_coordinating(request, since, now);
        }
        let answers = coordinator.ask(request, SLOTS, now);
        // The work at the upstream is of no concern here.
        coordinator.end(request.ticket, Ending::Served, now);
        let own = answers.iter().find(|(ticket, _)| *ticket == request.ticket);
        own.expect("each question is answered").1
    }

    fn coordinates_since(&self, instance: usize, now_ms: u64) -> Option<MonotonicTime> {
        let one = &self.instances[instance];
        let members = &one.process.members;
        let coordinator = members.coordinator(&self.upstream, &one.member.region)?;
        let age_ms = one.cut_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let is_own = coordinator.instance == one.member.instance;
        let since = members.changed_at(&one.member.region);
        (is_own && age_ms <= KNOWLEDGE_AGE_MAX_MS).then(|| since.max(one.process.started_at))
    }

    fn send(&mut self, at: usize, now_ms: u64) {
        let latency_ms = if region_of(at) == REGIONS[0] {
            SAME_REGION_MS
        } else {
            OTHER_REGION_MS
        };
        let process = &self.instances[at].process;
        let is_told = process
            .told_at_ms
            .is_some_and(|told_at_ms| told_at_ms + 500 <= now_ms);
        self.arrivals.push(Arrival {
            at_ms: now_ms + latency_ms,
            is_told,
        });
        self.responses.push(Response {
            at_ms: now_ms + 2 * latency_ms,
            instance: at,
            sent_ms: now_ms,
            limit: self.limit,
            started_at: process.started_at,
        });
    }
}

impl Process {
    fn new(started_ms: u64, members: Rc<Members>) -> Self {
        Self {
            started_at: time(started_ms),
            members,
            coordinator: Coordinator::default(),
            throttle: LocalThrottle::default(),
            told_at_ms: None,
        }
    }
}

fn time(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn number(member: &Member) -> usize {
    usize::from(member.caller_address.port())
}

fn region_of(instance: usize) -> &'static str {
    REGIONS[instance % REGIONS.len()]
}

fn member(number: usize) -> Member {
    let region = region_of(number);
    let address = SocketAddr::from(([127, 0, 0, 1], number as u16));
    let name: InstanceId = format!("edge-{region}-{number}").parse().unwrap();
    Member {
        instance: name,
        caller_address: address,
        peer_address: address,
        datagram_address: address,
        availability_zone: format!("{region}-a").parse().unwrap(),
        region: region.parse().unwrap(),
        registrar: None,
        link_mbps: 0,
        is_cut_off: false,
    }
}
