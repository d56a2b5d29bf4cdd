//! Simulates a fleet of membership state machines on a virtual clock, with scripted
//! message loss, pauses, crashes and network partitions.

mod names;

use foxtide_core::ids::InstanceId;
use foxtide_core::membership::{
    Incarnation,
    Member,
    MemberState,
    Membership,
    MembershipOptions,
    Output,
    Packet, //
};
use foxtide_core::time::MonotonicTime;
use names::{
    address,
    member,
    name,
    number,
    region, //
};
use rand::rngs::StdRng;
use rand::{
    RngExt,
    SeedableRng, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Options of a [`VirtualFleet`].
#[derive(Clone, Copy, Debug)]
pub struct VirtualFleetOptions {
    /// Options of the membership protocol.
    pub membership: MembershipOptions,
    /// Number of instances. Default 10.
    pub instances: usize,
    /// Number of availability zones over which instances are spread. Default 6.
    pub zones: usize,
    /// One-way delay of a message. Default 1 ms.
    pub delay: Duration,
    /// Seed of the random generators. Default 0.
    pub seed: u64,
}

impl Default for VirtualFleetOptions {
    fn default() -> Self {
        Self {
            membership: MembershipOptions::default(),
            instances: 10,
            zones: 6,
            delay: Duration::from_millis(1),
            seed: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Process {
    Running,
    /// Suspended; messages to it are held until it resumes.
    Paused,
    Killed,
}

#[derive(Debug)]
struct Node {
    machine: Membership,
    process: Process,
    partition: u32,
    held: Vec<Message>,
}

#[derive(Clone, Debug)]
struct Message {
    sender: usize,
    to: usize,
    packet: Packet,
}

/// Counts of running instances that others suspected or declared dead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FalseDetections {
    /// Incarnations that some instance suspected.
    pub suspected: usize,
    /// Incarnations that some instance declared dead.
    pub dead: usize,
}

/// A fleet of membership state machines on a virtual clock.
#[derive(Debug)]
pub struct VirtualFleet {
    nodes: Vec<Node>,
    in_flight: BTreeMap<(MonotonicTime, u64), Message>,
    options: VirtualFleetOptions,
    loss_rate: f64,
    now: MonotonicTime,
    sent: u64,
    sent_across_regions: u64,
    rng: StdRng,
    suspected: BTreeSet<(InstanceId, Incarnation)>,
    dead: BTreeSet<(InstanceId, Incarnation)>,
}

impl VirtualFleet {
    /// Creates a fleet in which every instance knows all members.
    pub fn new(options: VirtualFleetOptions) -> Self {
        let now = MonotonicTime::from_ms(1_000);
        let node = |number| Node {
            machine: Membership::new(
                member(number, options.zones),
                options.membership,
                options.seed.wrapping_mul(1_000).wrapping_add(number as u64),
                now,
            ),
            process: Process::Running,
            partition: 0,
            held: Vec::new(),
        };
        let mut fleet = Self {
            nodes: (0..options.instances).map(node).collect(),
            in_flight: BTreeMap::new(),
            options,
            loss_rate: 0.0,
            now,
            sent: 0,
            sent_across_regions: 0,
            rng: StdRng::seed_from_u64(options.seed),
            suspected: BTreeSet::new(),
            dead: BTreeSet::new(),
        };
        let members: Vec<_> = (0..options.instances)
            .map(|number| member(number, options.zones))
            .collect();
        for node in &mut fleet.nodes {
            node.machine.merge(members.clone(), now);
        }
        fleet
    }

    /// Sets the fraction of messages that are dropped from now on.
    pub fn set_loss_rate(&mut self, rate: f64) {
        self.loss_rate = rate;
    }

    /// Kills an instance.
    pub fn kill(&mut self, instance: usize) {
        self.nodes[instance].process = Process::Killed;
    }

    /// Pauses an instance and holds messages to it.
    pub fn pause(&mut self, instance: usize) {
        self.nodes[instance].process = Process::Paused;
    }

    /// Resumes a paused instance, which first receives the held messages.
    pub fn resume(&mut self, instance: usize) {
        self.nodes[instance].process = Process::Running;
        for message in std::mem::take(&mut self.nodes[instance].held) {
            self.deliver(message);
        }
    }

    /// Makes an instance announce that it is leaving.
    pub fn leave(&mut self, instance: usize) {
        let outputs = self.nodes[instance].machine.leave(self.now);
        self.apply_outputs(instance, outputs);
    }

    /// Partitions these instances from all others.
    pub fn partition(&mut self, instances: impl IntoIterator<Item = usize>) {
        for instance in instances {
            self.nodes[instance].partition = 1;
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.partition = 0);
    }

    /// Returns the time on the virtual clock.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Returns the state of `subject` in `observer`'s view.
    pub fn state(&self, observer: usize, subject: usize) -> Option<MemberState> {
        let member = self.nodes[observer].machine.member(&name(subject))?;
        Some(member.state)
    }

    /// Returns whether every running instance has the correct view of which instances
    /// run.
    pub fn all_agree(&self) -> bool {
        let running: Vec<_> = (0..self.nodes.len()).map(|it| self.runs(it)).collect();
        let observers = (0..running.len()).filter(|observer| running[*observer]);
        observers.into_iter().all(|observer| {
            let mut subjects = running.iter().enumerate();
            subjects.all(|(subject, runs)| {
                let state = self.state(observer, subject);
                state.is_some_and(MemberState::is_usable) == *runs
            })
        })
    }

    fn runs(&self, instance: usize) -> bool {
        self.nodes[instance].process == Process::Running
    }

    /// Returns the state machine of an instance.
    pub fn machine(&self, instance: usize) -> &Membership {
        &self.nodes[instance].machine
    }

    /// Returns the counts of false detections so far.
    pub fn false_detections(&self) -> FalseDetections {
        FalseDetections {
            suspected: self.suspected.len(),
            dead: self.dead.len(),
        }
    }

    /// Returns the number of messages sent so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of messages sent to another region so far; every third instance
    /// is in the same region.
    pub fn sent_across_regions(&self) -> u64 {
        self.sent_across_regions
    }

    /// Advances virtual time by `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances virtual time until `done`; returns the time taken, or `None` if `limit`
    /// passed first.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        let end = self.now + TICK_PERIOD;
        while let Some(first) = self.in_flight.first_entry() {
            if first.key().0 > end {
                break;
            }
            let ((at, _), message) = first.remove_entry();
            self.now = at;
            self.deliver(message);
        }
        self.now = end;
        for instance in 0..self.nodes.len() {
            if self.runs(instance) {
                let outputs = self.nodes[instance].machine.tick(end);
                self.apply_outputs(instance, outputs);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let node = &mut self.nodes[message.to];
        match node.process {
            Process::Killed => {}
            Process::Paused => node.held.push(message),
            Process::Running => {
                let Message { sender, to, packet } = message;
                let from = address(sender);
                let outputs = node.machine.receive(&name(sender), from, packet, self.now);
                self.apply_outputs(to, outputs);
            }
        }
    }

    fn apply_outputs(&mut self, instance: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, packet } => self.send(instance, number(to), packet),
                Output::Synchronise { with } => self.synchronise(instance, number(with)),
                Output::Changed(member) => self.record_detection(&member),
                Output::Announced { .. } => {}
            }
        }
    }

    fn send(&mut self, sender: usize, to: usize, packet: Packet) {
        self.sent += 1;
        self.sent_across_regions += u64::from(region(sender) != region(to));
        let lost = self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate);
        if !lost && self.connected(sender, to) {
            let key = (self.now + self.options.delay, self.sent);
            self.in_flight.insert(key, Message { sender, to, packet });
        }
    }

    fn connected(&self, one: usize, two: usize) -> bool {
        self.nodes[one].partition == self.nodes[two].partition
    }

    /// Exchanges full member lists between two instances, as over a stream.
    fn synchronise(&mut self, one: usize, two: usize) {
        if !self.connected(one, two) || !self.runs(one) || !self.runs(two) {
            return;
        }
        for (from, to) in [(one, two), (two, one)] {
            let members = self.nodes[from].machine.members().cloned().collect();
            let outputs = self.nodes[to].machine.merge(members, self.now);
            self.apply_outputs(to, outputs);
        }
    }

    fn record_detection(&mut self, member: &Member) {
        let node = &self.nodes[number(member.peer_address)];
        if node.process != Process::Running {
            return;
        }
        let detection = (member.instance.clone(), member.incarnation);
        match member.state {
            MemberState::Suspect => self.suspected.insert(detection),
            MemberState::Dead => self.dead.insert(detection),
            MemberState::Joining | MemberState::Alive | MemberState::Leaving => false,
        };
    }
}
