//! Periodic tasks: probes, digests and attempts to contact dead members.

use super::machine::{
    Membership,
    send_to_member, //
};
use super::member::{
    Member,
    MemberState, //
};
use super::message::{
    Message,
    Output,
    ProbeId,
    Rumour, //
};
use super::probe::Probe;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use rand::seq::{
    IndexedRandom,
    IteratorRandom, //
};

/// Peers to synchronise with after a pause of this process.
const SYNCHRONISED_PEERS: usize = 2;

impl Membership {
    /// Detects a pause of this process and restarts all timers: timeouts that expired
    /// during it are no evidence of failures, and the member table is stale.
    pub(super) fn detect_pause(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now - self.ticked_at > self.options.pause_limit {
            self.probes.clear();
            self.suspicions.restart(now);
            self.due.digest_at = now;
            self.counts.pauses += 1;
            self.synchronise_after_pause(outputs);
        }
        self.ticked_at = now;
    }

    /// Synchronises with a few peers without comparing digests first.
    fn synchronise_after_pause(&mut self, outputs: &mut Vec<Output>) {
        let peers = self.scope.peers().map(|member| member.peer_address);
        let selected = peers.sample(&mut self.rng, SYNCHRONISED_PEERS);
        let exchanges = selected
            .into_iter()
            .map(|with| Output::Synchronise { with });
        outputs.extend(exchanges);
    }

    pub(super) fn check_probes(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let overdue = self.probes.take_overdue(self.options.probe_attempts, now);
        for probe in overdue.retries {
            self.send_ping(probe.id, &probe.target, outputs);
            self.send_ping_requests(&probe, outputs);
        }
        for target in overdue.failed {
            self.counts.failed_probes += 1;
            self.handle_probe_failure(&target, now, outputs);
        }
    }

    /// Notifies the suspects that this instance observed again, in case the
    /// notification or the refutation was lost.
    pub(super) fn notify_suspects(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now < self.due.notify_suspects_at {
            return;
        }
        self.due.notify_suspects_at = now + self.options.probe_interval;
        for subject in self.suspicions.observed() {
            if let Some(member) = self.table.get(subject) {
                outputs.push(send_to_member(member.clone()));
            }
        }
    }

    pub(super) fn start_probe(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now < self.due.probe_at {
            return;
        }
        self.due.probe_at = now + self.options.probe_interval;
        let names = self.scope.peers().map(|member| member.instance.clone());
        let Some(target) = self.probes.next_target(names, &mut self.rng) else {
            return;
        };
        let Some(member) = self.table.get(&target) else {
            return;
        };
        let is_near = member.availability_zone == self.own.availability_zone;
        if !member.state.is_running() {
            return;
        }
        let timeout = if is_near {
            self.options.near_timeout
        } else {
            self.options.far_timeout
        };
        let probe = self.probes.start(target.clone(), timeout, now);
        self.counts.probes += 1;
        self.send_ping(probe, &target, outputs);
    }

    /// Pings `target` and notifies a suspect of the suspicion, so that it can refute
    /// it.
    fn send_ping(&mut self, probe: ProbeId, target: &InstanceId, outputs: &mut Vec<Output>) {
        let Some(member) = self.table.get(target).cloned() else {
            return;
        };
        let to = member.peer_address;
        let mut packet = self.packet(Message::Ping {
            probe,
            target: target.clone(),
        });
        if member.state == MemberState::Suspect {
            packet.rumours.insert(0, Rumour::Member(member));
        }
        outputs.push(Output::Send { to, packet });
    }

    fn send_ping_requests(&mut self, probe: &Probe, outputs: &mut Vec<Output>) {
        let Some(target) = self.table.get(&probe.target).cloned() else {
            return;
        };
        let can_help = |member: &&Member| {
            member.instance != target.instance && member.state == MemberState::Alive
        };
        let helpers = self.scope.peers().filter(can_help);
        let count = self.options.indirect_probes;
        let selected = helpers.map(|member| member.peer_address);
        for to in selected.sample(&mut self.rng, count) {
            let packet = self.packet(Message::PingRequest {
                probe: probe.id,
                target: target.instance.clone(),
                address: target.peer_address,
            });
            outputs.push(Output::Send { to, packet });
        }
    }

    pub(super) fn forward_ack(&mut self, probe: ProbeId, outputs: &mut Vec<Output>) {
        if let Some((origin, probe)) = self.probes.complete(probe) {
            let packet = self.packet(Message::Ack { probe });
            outputs.push(Output::Send { to: origin, packet });
        }
    }

    /// Sends a digest to a random peer of the zone and, as a delegate, to one of
    /// another zone.
    pub(super) fn send_digests(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now < self.due.digest_at {
            return;
        }
        self.due.digest_at = now + self.options.digest_interval;
        self.table.prune_dead(self.options.dead_retention, now);
        let zone_peer = self.scope.zone_peers.choose(&mut self.rng);
        let foreign = self.scope.foreign_delegates.choose(&mut self.rng);
        let peers = zone_peer.into_iter().chain(foreign);
        let addresses: Vec<_> = peers.map(|member| member.peer_address).collect();
        for to in addresses {
            let packet = self.packet(Message::Digest(self.digest()));
            outputs.push(Output::Send { to, packet });
        }
    }

    /// Notifies a random dead member of its state, so that it refutes it if it is
    /// alive, for instance after a partition.
    pub(super) fn reconnect(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if now < self.due.reconnect_at {
            return;
        }
        self.due.reconnect_at = now + self.options.reconnect_interval;
        if !self.scope.is_delegate {
            return;
        }
        if let Some(dead) = self.table.dead().choose(&mut self.rng) {
            outputs.push(send_to_member(dead.clone()));
        }
    }
}
