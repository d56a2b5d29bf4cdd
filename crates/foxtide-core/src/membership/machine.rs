//! The membership protocol of one instance as a pure state machine.

use super::member::Member;
use super::message::{
    DATAGRAM_MAX_BYTES,
    Digest,
    HEADER_MAX_BYTES,
    Message,
    Output,
    Packet,
    Rumour, //
};
use super::options::MembershipOptions;
use super::probe::ProbeSchedule;
use super::queue::{
    RumourQueue,
    transmissions, //
};
use super::rendezvous::{
    Role,
    rank, //
};
use super::scope::Scope;
use super::suspicion::Suspicions;
use super::table::{
    MemberTable,
    MemberView, //
};
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::time::Duration;

/// Rumours in one datagram take at most this, in bytes.
const RUMOURS_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - HEADER_MAX_BYTES;

/// Fresh rumours go out at once, but not more often than this.
const EAGER_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);

/// With more rumours than this an instance does not compare tables: a fleet
/// that starts would exchange them for every difference.
const DIGEST_QUEUE_MAX: usize = 8;

/// How long a scope stands though the table did not change.
const SCOPE_AGE_MAX: Duration = Duration::from_secs(1);

/// How often things happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Probes started.
    pub probes: u64,
    /// Probes whose target stayed silent.
    pub failed_probes: u64,
    /// Beliefs about this instance that it contradicted.
    pub refutations: u64,
    /// Pauses of this process that it noticed.
    pub pauses: u64,
}

/// When each regular task is due next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Due {
    pub(super) probe_at: MonotonicTime,
    rumours_at: MonotonicTime,
    pub(super) digest_at: MonotonicTime,
    pub(super) reconnect_at: MonotonicTime,
    pub(super) notify_suspects_at: MonotonicTime,
}

/// The membership protocol of one instance.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Member,
    pub(super) options: MembershipOptions,
    pub(super) table: MemberTable,
    pub(super) suspicions: Suspicions,
    pub(super) queue: RumourQueue,
    pub(super) counts: MembershipCounts,
    pub(super) has_unsent_rumours: bool,
    pub(super) scope: Scope,
    scope_version: u64,
    scope_at: MonotonicTime,
    pub(super) probes: ProbeSchedule,
    pub(super) due: Due,
    gossiped_at: MonotonicTime,
    pub(super) ticked_at: MonotonicTime,
    configuration_hash: u64,
    pub(super) rng: StdRng,
}

impl Membership {
    /// Returns the protocol of the instance `own`, alone so far.
    pub fn new(own: Member, options: MembershipOptions, seed: u64, now: MonotonicTime) -> Self {
        let mut table = MemberTable::default();
        table.put(own.clone(), now);
        let scope = Scope::new(&own, &table, options.delegates_per_zone, now);
        let scope_version = table.version();
        let due = Due {
            probe_at: now + options.probe_interval,
            rumours_at: now,
            digest_at: now + options.digest_interval,
            reconnect_at: now + options.reconnect_interval,
            notify_suspects_at: now,
        };
        Self {
            own,
            options,
            table,
            suspicions: Suspicions::default(),
            queue: RumourQueue::default(),
            counts: MembershipCounts::default(),
            has_unsent_rumours: false,
            scope,
            scope_version,
            scope_at: now,
            probes: ProbeSchedule::default(),
            due,
            gossiped_at: MonotonicTime::ZERO,
            ticked_at: now,
            configuration_hash: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns this instance as it presents itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all members known, the dead of late included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// Returns all members with the time at which the belief changed.
    pub fn member_views(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.table.views()
    }

    /// Returns a number that changes whenever a member does.
    pub fn members_version(&self) -> u64 {
        self.table.version()
    }

    /// Returns one member.
    pub fn member(&self, instance: &InstanceId) -> Option<&Member> {
        self.table.get(instance)
    }

    /// Returns how many rumours are still being spread.
    pub fn waiting_rumours(&self) -> usize {
        self.queue.len()
    }

    /// Returns how often things happened.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Returns whether this instance is one of the first `count` usable ones
    /// of its zone for `role`.
    pub fn holds(&self, role: Role, count: usize) -> bool {
        let zone = &self.own.availability_zone;
        let usable = self
            .table
            .members()
            .filter(|member| member.availability_zone == *zone && member.state.is_usable());
        let ranked = rank(role, usable.map(|member| &member.instance));
        ranked
            .into_iter()
            .take(count)
            .any(|name| *name == self.own.instance)
    }

    /// Sets the hash that stands for the configuration held.
    pub fn set_configuration_hash(&mut self, hash: u64) {
        self.configuration_hash = hash;
    }

    /// Does what is due; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.detect_pause(now, &mut outputs);
        self.refresh_scope(now);
        self.expire_suspicions(now, &mut outputs);
        self.check_probes(now, &mut outputs);
        self.notify_suspects(now, &mut outputs);
        self.start_probe(now, &mut outputs);
        self.send_digests(now, &mut outputs);
        self.reconnect(now, &mut outputs);
        if now >= self.due.rumours_at {
            self.gossip(now, &mut outputs);
        }
        outputs
    }

    /// Takes a packet in that `sender` sent from the address `from`.
    pub fn receive(
        &mut self,
        sender: &InstanceId,
        from: SocketAddr,
        packet: Packet,
        now: MonotonicTime,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.check_sender(sender, from, &mut outputs);
        for rumour in packet.rumours {
            self.apply_rumour(rumour, from, now, &mut outputs);
        }
        self.answer(from, packet.message, now, &mut outputs);
        if self.has_unsent_rumours && now - self.gossiped_at >= EAGER_GOSSIP_INTERVAL {
            self.gossip(now, &mut outputs);
        }
        outputs
    }

    /// Spreads a rumour of this instance's own.
    pub fn spread(&mut self, rumour: Rumour, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.push(rumour);
        self.gossip(now, &mut outputs);
        outputs
    }

    pub(super) fn push(&mut self, rumour: Rumour) {
        self.queue.push(rumour);
        self.has_unsent_rumours = true;
    }

    /// Answers what a packet asks for.
    fn answer(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Ping { probe, target } if target == self.own.instance => {
                let packet = self.packet(Message::Ack { probe });
                outputs.push(Output::Send { to: from, packet });
            }
            Message::Ping { .. } | Message::Rumours => {}
            Message::Ack { probe } => self.forward_ack(probe, outputs),
            Message::PingRequest {
                probe,
                target,
                address,
            } => {
                let expires_at = now + self.options.far_timeout * 2;
                let probe = self.probes.relay(from, probe, expires_at);
                let packet = self.packet(Message::Ping { probe, target });
                outputs.push(Output::Send {
                    to: address,
                    packet,
                });
            }
            Message::Digest(theirs) => {
                // While much news is on its way a difference means little.
                let is_queue_short = self.queue.len() <= DIGEST_QUEUE_MAX;
                if is_queue_short && theirs != self.digest() {
                    outputs.push(Output::Synchronise { with: from });
                }
            }
        }
    }

    /// Returns the hashes over what this instance knows.
    pub fn digest(&self) -> Digest {
        Digest {
            members_hash: self.table.hash(),
            configuration_hash: self.configuration_hash,
        }
    }

    pub(super) fn packet(&mut self, message: Message) -> Packet {
        let limit = transmissions(self.options.rumour_factor, self.scope.size());
        let rumours = self.queue.take(RUMOURS_MAX_BYTES, limit);
        Packet { message, rumours }
    }

    fn refresh_scope(&mut self, now: MonotonicTime) {
        let fresh = self.scope_version == self.table.version();
        if fresh && now - self.scope_at < SCOPE_AGE_MAX {
            return;
        }
        self.scope = Scope::new(&self.own, &self.table, self.options.delegates_per_zone, now);
        self.scope_version = self.table.version();
        self.scope_at = now;
    }

    fn expire_suspicions(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        for subject in self.suspicions.expired(&self.options.suspicion, now) {
            self.declare_dead(&subject, now, outputs);
        }
    }

    /// Sends the waiting rumours to a few random members in scope.
    pub(super) fn gossip(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.due.rumours_at = now + self.options.rumour_interval;
        self.gossiped_at = now;
        self.has_unsent_rumours = false;
        if self.queue.is_empty() {
            return;
        }
        let fanout = self.options.rumour_fanout;
        let zone_peers = self.scope.zone_peers.iter().sample(&mut self.rng, fanout);
        let foreign = &self.scope.foreign_delegates;
        let delegates = foreign.iter().sample(&mut self.rng, fanout);
        let chosen = zone_peers.into_iter().chain(delegates);
        let addresses: Vec<_> = chosen.map(|member| member.peer_address).collect();
        for to in addresses {
            let packet = self.packet(Message::Rumours);
            if !packet.rumours.is_empty() {
                outputs.push(Output::Send { to, packet });
            }
        }
    }

    /// Returns where everyone in scope listens.
    pub(super) fn scope_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.scope.peers().map(|member| member.peer_address);
        addresses.collect()
    }
}

/// Returns the sending of a belief to the very member that it is about.
pub(super) fn send_to_member(member: Member) -> Output {
    Output::Send {
        to: member.peer_address,
        packet: Packet {
            message: Message::Rumours,
            rumours: vec![Rumour::Member(member)],
        },
    }
}
