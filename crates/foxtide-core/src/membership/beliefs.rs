//! How a belief about a member comes about, changes and is contradicted.

use super::machine::{
    Membership,
    direct, //
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
use super::suspicion::Found;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use std::net::SocketAddr;

impl Membership {
    /// Announces that this instance, which was joining, serves callers.
    pub fn serve(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.own.state == MemberState::Joining {
            self.own.state = MemberState::Alive;
            self.present(now, &mut outputs);
        }
        outputs
    }

    /// Announces that this instance leaves, to everyone in scope at once.
    pub fn leave(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.own.state = MemberState::Leaving;
        self.present(now, &mut outputs);
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
                self.doubt(&member, now, &mut outputs);
                outputs.push(direct(member));
            } else {
                self.believe(member, now, &mut outputs);
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
            self.doubt(&member, now, outputs);
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
    fn doubt(&mut self, member: &Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        let suspect = member.in_state(MemberState::Suspect);
        if self.table.apply(&suspect, now) {
            let incarnation = suspect.incarnation;
            self.suspicions
                .suspect(&suspect.instance, incarnation, &Found::Somewhere, now);
            outputs.push(Output::Changed(suspect));
        }
    }

    /// Meets a sender that is not known or thought dead.
    pub(super) fn greet(&self, sender: &InstanceId, from: SocketAddr, outputs: &mut Vec<Output>) {
        match self.table.get(sender) {
            None => outputs.push(Output::Synchronise { with: from }),
            Some(member) if !member.state.is_running() => outputs.push(direct(member.clone())),
            Some(_) => {}
        }
    }

    /// Takes one rumour in.
    pub(super) fn hear(
        &mut self,
        rumour: Rumour,
        from: SocketAddr,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        match rumour {
            Rumour::Member(member) => {
                self.object(&member, from, now, outputs);
                self.believe(member, now, outputs);
            }
            Rumour::Suspicion(Suspicion { member, by }) => {
                self.object(&member, from, now, outputs);
                self.suspect(member, Found::Elsewhere(by), now, outputs);
            }
            Rumour::Configuration(announcement) => outputs.push(Output::Announced {
                announcement,
                by: from,
            }),
        }
    }

    /// Answers a peer that thinks ill of this instance.
    fn object(
        &mut self,
        belief: &Member,
        from: SocketAddr,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        let suspected = matches!(belief.state, MemberState::Suspect | MemberState::Dead);
        if belief.instance == self.own.instance && suspected {
            self.contradict(belief, now, outputs);
            outputs.push(direct_to(from, self.own.clone()));
        }
    }

    /// Takes a belief in.
    fn believe(&mut self, member: Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if member.instance == self.own.instance {
            self.contradict(&member, now, outputs);
            return;
        }
        if member.state == MemberState::Suspect {
            self.suspect(member, Found::Somewhere, now, outputs);
            return;
        }
        if self.table.apply(&member, now) {
            self.suspicions.end(&member.instance);
            self.push(Rumour::Member(member.clone()));
            outputs.push(Output::Changed(member));
        }
    }

    /// Objects to a belief about this instance that is wrong.
    fn contradict(&mut self, belief: &Member, now: MonotonicTime, outputs: &mut Vec<Output>) {
        if !belief.replaces(&self.own) {
            return;
        }
        self.own.incarnation = belief.incarnation.next();
        self.counts.refutations += 1;
        self.present(now, outputs);
    }

    /// Spreads how this instance presents itself.
    fn present(&mut self, now: MonotonicTime, outputs: &mut Vec<Output>) {
        self.table.put(self.own.clone(), now);
        self.push(Rumour::Member(self.own.clone()));
        outputs.push(Output::Changed(self.own.clone()));
        self.tell(now, outputs);
    }

    /// Takes a suspicion in, another's or an own one.
    fn suspect(
        &mut self,
        member: Member,
        found: Found,
        now: MonotonicTime,
        outputs: &mut Vec<Output>,
    ) {
        if member.instance == self.own.instance {
            self.contradict(&member, now, outputs);
            return;
        }
        let changed = self.table.apply(&member, now);
        let held = self.table.get(&member.instance);
        if !held.is_some_and(|held| *held == member) {
            return;
        }
        let fresh = self
            .suspicions
            .suspect(&member.instance, member.incarnation, &found, now);
        if fresh {
            self.push(rumour(member.clone(), found));
        }
        if changed {
            outputs.push(Output::Changed(member));
        }
    }

    /// Acts on a probe that stayed without answer.
    pub(super) fn found_silent(
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
                outputs.push(direct(member.clone()));
                let found = Found::Here(self.own.instance.clone());
                self.suspect(member, found, now, outputs);
            }
            MemberState::Leaving => self.bury(target, now, outputs),
            MemberState::Dead => {}
        }
    }

    /// Declares a silent member dead.
    pub(super) fn bury(
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
            self.believe(dead, now, outputs);
        }
    }
}

/// Returns the rumour of a suspicion.
fn rumour(member: Member, found: Found) -> Rumour {
    match found {
        Found::Here(by) | Found::Elsewhere(by) => Rumour::Suspicion(Suspicion { member, by }),
        Found::Somewhere => Rumour::Member(member),
    }
}

/// Returns the sending of a belief to an address.
fn direct_to(to: SocketAddr, member: Member) -> Output {
    let Output::Send { packet, .. } = direct(member) else {
        unreachable!("direct sends");
    };
    Output::Send { to, packet }
}
