//! Applies, spreads and refutes updates about members.

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
    Packet,
    Rumour,
    Suspicion, //
};
use super::suspicion::SuspicionSource;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use std::net::SocketAddr;

impl Membership {
    /// Marks this joining instance as alive and announces it.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.own.state == MemberState::Joining {
            self.own.state = MemberState::Alive;
            self.announce_self(now, &mut outputs);
        }
        outputs
    }

    /// Announces to all peers in scope that this instance is leaving.
    pub fn leave(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.own.state = MemberState::Leaving;
        self.announce_self(now, &mut outputs);
        let packet = Packet {
            message: Message::Rumours,
            rumours: vec![Rumour::Member(self.own.clone())],
        };
        for to in self.scope_addresses() {
            let packet = packet.clone();
            outputs.push(Output::Send { to, packet });
        }
        outputs
    }

    /// Merges a peer's member table.
    ///
    /// A member that only the peer considers dead becomes suspect instead and is
    /// notified, so that it can refute: the peer may have been partitioned from it.
    pub fn merge(&mut self, members: Vec<Member>, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut discovered = false;
        for member in members {
            let known = self.table.get(&member.instance);
            if known.is_none() {
                discovered |= self.discover(member, now, &mut outputs);
                continue;
            }
            let contested = known.is_some_and(|known| {
                known.state.is_running() && !member.state.is_running() && member.replaces(known)
            });
            if contested && member.instance != self.own.instance {
                self.suspect_without_gossip(&member, now, &mut outputs);
                outputs.push(send_to_member(member));
            } else {
                self.apply_update(member, now, &mut outputs);
            }
        }
        if discovered {
            self.queue_rumour(Rumour::Member(self.own.clone()));
        }
        outputs
    }

    /// Adds a member that was unknown here, without gossiping it: a starting instance
    /// announces itself to the fleet, not all members that it learns of.
    fn discover(&mut self, member: Member, now: MonotonicTime, outputs: &mut Vec<Output>) -> bool {
        if member.state == MemberState::Suspect {
            self.suspect_without_gossip(&member, now, outputs);
            return true;
        }
        let is_new = self.table.apply(&member, now);
        if is_new {
            outputs.push(Output::Changed(member));
        }
        is_new
    }

    /// Suspects a member that a peer's table reports as dead or suspect, without
    /// gossiping it. The member is declared dead unless it or another instance refutes
    /// in time.
    fn suspect_without_gossip(
        &mut self,
        member: &Member,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let suspect = member.in_state(MemberState::Suspect);
        if self.table.apply(&suspect, now) {
            let incarnation = suspect.incarnation;
            self.suspicions.suspect(
                &suspect.instance,
                incarnation,
                &SuspicionSource::Unknown,
                now,
            );
            outputs.push(Output::Changed(suspect));
        }
    }

    /// Synchronises with an unknown sender and notifies one that is considered dead.
    pub(super) fn check_sender(
        &self,
        sender: &InstanceId,
        from: SocketAddr,
        outputs: &mut Vec<Output>,
    ) {
        match self.table.get(sender) {
            None => outputs.push(Output::Synchronise { with: from }),
            Some(member) if !member.state.is_running() => {
                outputs.push(send_to_member(member.clone()))
            }
            Some(_) => {}
        }
    }

    pub(super) fn apply_rumour(
        &mut self,
        rumour: Rumour,
        from: SocketAddr,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        match rumour {
            Rumour::Member(member) => {
                self.refute_to_peer(&member, from, now, outputs);
                self.apply_update(member, now, outputs);
            }
            Rumour::Suspicion(Suspicion { member, by }) => {
                self.refute_to_peer(&member, from, now, outputs);
                self.suspect(member, SuspicionSource::Peer(by), now, outputs);
            }
            Rumour::Configuration(announcement) => outputs.push(Output::Announced {
                announcement,
                by: from,
            }),
        }
    }

    /// Refutes a suspicion of this instance, by gossip and directly to the peer that
    /// sent it.
    fn refute_to_peer(
        &mut self,
        update: &Member,
        from: SocketAddr,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let suspected = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        if update.instance == self.own.instance && suspected {
            self.refute(update, now, outputs);
            outputs.push(send_member_to(from, self.own.clone()));
        }
    }

    /// Applies an update about a member and gossips it if it is new.
    fn apply_update(&mut self, member: Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if member.instance == self.own.instance {
            self.refute(&member, now, outputs);
            return;
        }
        if member.state == MemberState::Suspect {
            self.suspect(member, SuspicionSource::Unknown, now, outputs);
            return;
        }
        if self.table.apply(&member, now) {
            self.suspicions.cancel(&member.instance);
            self.queue_rumour(Rumour::Member(member.clone()));
            outputs.push(Output::Changed(member));
        }
    }

    /// Raises this instance's incarnation if `update` would replace its own state.
    fn refute(&mut self, update: &Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if !update.replaces(&self.own) {
            return;
        }
        self.own.incarnation = update.incarnation.next();
        self.counts.refutations += 1;
        self.announce_self(now, outputs);
    }

    /// Stores and gossips this instance's own state.
    fn announce_self(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.table.put(self.own.clone(), now);
        self.queue_rumour(Rumour::Member(self.own.clone()));
        outputs.push(Output::Changed(self.own.clone()));
        self.gossip(now, outputs);
    }

    /// Applies a suspicion and gossips it if it is new.
    fn suspect(
        &mut self,
        member: Member,
        source: SuspicionSource,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        if member.instance == self.own.instance {
            self.refute(&member, now, outputs);
            return;
        }
        let changed = self.table.apply(&member, now);
        let known = self.table.get(&member.instance);
        if !known.is_some_and(|known| *known == member) {
            return;
        }
        let is_new = self
            .suspicions
            .suspect(&member.instance, member.incarnation, &source, now);
        if is_new {
            self.queue_rumour(rumour(member.clone(), source));
        }
        if changed {
            outputs.push(Output::Changed(member));
        }
    }

    /// Suspects a member that did not answer a probe, or declares a leaving one dead.
    pub(super) fn handle_probe_failure(
        &mut self,
        target: &InstanceId,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.get(target).cloned() else {
            return;
        };
        match member.state {
            MemberState::Joining | MemberState::Alive | MemberState::Suspect => {
                let member = member.in_state(MemberState::Suspect);
                // A member that is notified directly can refute before others suspect
                // it.
                outputs.push(send_to_member(member.clone()));
                let source = SuspicionSource::OwnProbe(self.own.instance.clone());
                self.suspect(member, source, now, outputs);
            }
            MemberState::Leaving => self.declare_dead(target, now, outputs),
            MemberState::Dead => {}
        }
    }

    /// Declares a suspect or leaving member dead.
    pub(super) fn declare_dead(
        &mut self,
        target: &InstanceId,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let Some(member) = self.table.get(target) else {
            return;
        };
        if matches!(member.state, MemberState::Suspect | MemberState::Leaving) {
            let dead = member.in_state(MemberState::Dead);
            self.apply_update(dead, now, outputs);
        }
    }
}

/// Returns the rumour that spreads a suspicion.
fn rumour(member: Member, source: SuspicionSource) -> Rumour {
    match source {
        SuspicionSource::OwnProbe(by) | SuspicionSource::Peer(by) => {
            Rumour::Suspicion(Suspicion { member, by })
        }
        SuspicionSource::Unknown => Rumour::Member(member),
    }
}

/// Returns the output that sends an update to an address.
fn send_member_to(to: SocketAddr, member: Member) -> Output {
    let Output::Send { packet, .. } = send_to_member(member) else {
        unreachable!("send_to_member returns Output::Send");
    };
    Output::Send { to, packet }
}
