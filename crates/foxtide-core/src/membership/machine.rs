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
    transmission_limit, //
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

/// Bytes available for rumours in one datagram.
const RUMOURS_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - HEADER_MAX_BYTES;

/// Minimum interval between gossip rounds that new rumours trigger.
const EAGER_GOSSIP_INTERVAL: Duration = Duration::from_millis(20);

/// Queue length above which digests are ignored: while many rumours are in flight,
/// tables differ anyway.
const DIGEST_QUEUE_MAX: usize = 8;

/// Age at which the scope is recomputed although the table did not change.
const SCOPE_AGE_MAX: Duration = Duration::from_secs(1);

/// Event counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounts {
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer to any attempt.
    pub failed_probes: u64,
    /// Suspicions of this instance that it refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
}

/// Next due times of the periodic tasks.
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
    /// Returns the protocol state of the instance `own`, which knows no other members.
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

    /// Returns this instance's own member entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns all known members, including recently dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members()
    }

    /// Returns all known members with the time of their last update.
    pub fn member_views(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.table.views()
    }

    /// Returns the version of the member table; each change increases it.
    pub fn members_version(&self) -> u64 {
        self.table.version()
    }

    /// Returns a member by its name.
    pub fn member(&self, instance: &InstanceId) -> Option<&Member> {
        self.table.get(instance)
    }

    /// Returns the number of rumours that are still being sent.
    pub fn waiting_rumours(&self) -> usize {
        self.queue.len()
    }

    /// Returns the event counts.
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Returns whether this instance ranks among the first `count` usable instances of
    /// its zone for `role`.
    pub fn has_role(&self, role: Role, count: usize) -> bool {
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

    /// Sets the hash of the current configuration, for digests.
    pub fn set_configuration_hash(&mut self, hash: u64) {
        self.configuration_hash = hash;
    }

    /// Runs the periodic tasks that are due; must be called every few tens of
    /// milliseconds.
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

    /// Handles a packet that `sender` sent from the address `from`.
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
        self.handle_message(from, packet.message, now, &mut outputs);
        if self.has_unsent_rumours && now - self.gossiped_at >= EAGER_GOSSIP_INTERVAL {
            self.gossip(now, &mut outputs);
        }
        outputs
    }

    /// Queues a rumour of this instance and gossips at once.
    pub fn spread(&mut self, rumour: Rumour, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.queue_rumour(rumour);
        self.gossip(now, &mut outputs);
        outputs
    }

    pub(super) fn queue_rumour(&mut self, rumour: Rumour) {
        self.queue.push(rumour);
        self.has_unsent_rumours = true;
    }

    /// Handles a packet's message.
    fn handle_message(
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
                let is_queue_short = self.queue.len() <= DIGEST_QUEUE_MAX;
                if is_queue_short && theirs != self.digest() {
                    outputs.push(Output::Synchronise { with: from });
                }
            }
        }
    }

    /// Returns the hashes of the members and the configuration.
    pub fn digest(&self) -> Digest {
        Digest {
            members_hash: self.table.hash(),
            configuration_hash: self.configuration_hash,
        }
    }

    pub(super) fn packet(&mut self, message: Message) -> Packet {
        let limit = transmission_limit(self.options.rumour_factor, self.scope.size());
        let rumours = self.queue.take(RUMOURS_MAX_BYTES, limit);
        Packet { message, rumours }
    }

    fn refresh_scope(&mut self, now: MonotonicTime) {
        let is_current = self.scope_version == self.table.version();
        if is_current && now - self.scope_at < SCOPE_AGE_MAX {
            return;
        }
        self.scope = Scope::new(&self.own, &self.table, self.options.delegates_per_zone, now);
        self.scope_version = self.table.version();
        self.scope_at = now;
    }

    fn expire_suspicions(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        for subject in self.suspicions.take_expired(&self.options.suspicion, now) {
            self.declare_dead(&subject, now, outputs);
        }
    }

    /// Sends queued rumours to random peers in scope.
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

    /// Returns the peer addresses of all members in scope.
    pub(super) fn scope_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.scope.peers().map(|member| member.peer_address);
        addresses.collect()
    }
}

/// Returns the output that notifies a member of its own entry, so that it can refute
/// it.
pub(super) fn send_to_member(member: Member) -> Output {
    Output::Send {
        to: member.peer_address,
        packet: Packet {
            message: Message::Rumours,
            rumours: vec![Rumour::Member(member)],
        },
    }
}
