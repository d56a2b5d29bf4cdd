//! How a belief about a member comes about, changes and is contradicted.

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
    /// Announces that this instance, which was joining, serves callers.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.own.state == MemberState::Joining {
            self.own.state = MemberState::Alive;
            self.announce_self(now, &mut outputs);
        }
        outputs
    }

    /// Announces that this instance leaves, to everyone in scope at once.
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

    /// Takes in everything that a peer knows.
    ///
    /// A peer that thinks a member dead may have been cut off from it: that
    /// member is told, and objects if it lives; until then it is suspect.
    pub fn merge(&mut self, members: Vec<Member>, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        let mut discovered = false;
        for member in members {
            let held = self.table.get(&member.instance);
            if held.is_none() {
                discovered |= self.discover(member, now, &mut outputs);
                continue;
            }
            let contested = held.is_some_and(|held| {
                held.state.is_running() && !member.state.is_running() && member.replaces(held)
            });
            if contested && member.instance != self.own.instance {
                self.suspect_without_gossip(&member, now, &mut outputs);
                outputs.push(send_to_member(member));
            } else {
                self.apply_update(member, now, &mut outputs);
            }
        }
        if discovered {
            self.push(Rumour::Member(self.own.clone()));
        }
        outputs
    }

    /// Takes a member in that a peer knows of, and so others around it do: a
    /// starting instance tells the fleet of itself, not of all the others.
    fn discover(&mut self, member: Member, now: MonotonicTime, outputs: &mut Vec<Output>) -> bool {
        if member.state == MemberState::Suspect {
            self.suspect_without_gossip(&member, now, outputs);
            return true;
        }
        let fresh = self.table.apply(&member, now);
        if fresh {
            outputs.push(Output::Changed(member));
        }
        fresh
    }

    /// Suspects a member of which only a peer's table speaks ill. Nobody is
    /// told, but if neither it nor anybody else objects, it is dead.
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

    /// Meets a sender that is not known or thought dead.
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

    /// Takes one rumour in.
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

    /// Answers a peer that thinks ill of this instance.
    fn refute_to_peer(
        &mut self,
        belief: &Member,
        from: SocketAddr,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let suspected = matches!(belief.state, MemberState::Suspect | MemberState::Dead);
        if belief.instance == self.own.instance && suspected {
            self.refute(belief, now, outputs);
            outputs.push(send_member_to(from, self.own.clone()));
        }
    }

    /// Takes a belief in.
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
            self.suspicions.end(&member.instance);
            self.push(Rumour::Member(member.clone()));
            outputs.push(Output::Changed(member));
        }
    }

    /// Objects to a belief about this instance that is wrong.
    fn refute(&mut self, belief: &Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if !belief.replaces(&self.own) {
            return;
        }
        self.own.incarnation = belief.incarnation.next();
        self.counts.refutations += 1;
        self.announce_self(now, outputs);
    }

    /// Spreads how this instance presents itself.
    fn announce_self(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.table.put(self.own.clone(), now);
        self.push(Rumour::Member(self.own.clone()));
        outputs.push(Output::Changed(self.own.clone()));
        self.gossip(now, outputs);
    }

    /// Takes a suspicion in, another's or an own one.
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
        let held = self.table.get(&member.instance);
        if !held.is_some_and(|held| *held == member) {
            return;
        }
        let fresh = self
            .suspicions
            .suspect(&member.instance, member.incarnation, &source, now);
        if fresh {
            self.push(rumour(member.clone(), source));
        }
        if changed {
            outputs.push(Output::Changed(member));
        }
    }

    /// Acts on a probe that stayed without answer.
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
                // Told at once, it can object before others hear of it.
                outputs.push(send_to_member(member.clone()));
                let source = SuspicionSource::OwnProbe(self.own.instance.clone());
                self.suspect(member, source, now, outputs);
            }
            MemberState::Leaving => self.declare_dead(target, now, outputs),
            MemberState::Dead => {}
        }
    }

    /// Declares a silent member dead.
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

/// Returns the rumour of a suspicion.
fn rumour(member: Member, source: SuspicionSource) -> Rumour {
    match source {
        SuspicionSource::OwnProbe(by) | SuspicionSource::Peer(by) => {
            Rumour::Suspicion(Suspicion { member, by })
        }
        SuspicionSource::Unknown => Rumour::Member(member),
    }
}

/// Returns the sending of a belief to an address.
fn send_member_to(to: SocketAddr, member: Member) -> Output {
    let Output::Send { packet, .. } = send_to_member(member) else {
        unreachable!("send_to_member returns Output::Send");
    };
    Output::Send { to, packet }
}
