//! The records of other instances that one instance keeps in the store.
//!
//! In a large fleet the instances that follow the store for others also write these
//! into it, under their own leases. A lease and a record of each instance, renewed each
//! 0.7 s, are most of a fleet's calls to the store: of 295 instances 2,400 in 45 s. So
//! kept, they are a write for each change of a neighbour, several of them in one.

use super::Member;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

/// How long an instance may ask nothing before its record is removed. It asks about each
/// second, and 1.6 s later at the next watcher where one has died; callers are directed
/// to a dead instance for no longer than its own lease would let them (3 s).
const SILENCE_TIME: Duration = Duration::from_millis(2_600);

/// How late this instance may look after its neighbours before it takes itself for the
/// one that stood still: their questions lie unread then.
const LATE_TIME: Duration = Duration::from_millis(1_000);

/// What is to be changed in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordChanges {
    /// Records to be written.
    pub written: Vec<Member>,
    /// Instances whose records are to be removed.
    pub removed: Vec<InstanceId>,
}

impl RecordChanges {
    /// Tells whether nothing is to be changed.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordState {
    /// The record is to be written.
    Unwritten,
    /// The store has it.
    Written,
    /// The instance is leaving or dead: its record is to be removed.
    Leaving,
}

#[derive(Clone, Debug)]
struct Kept {
    member: Member,
    /// Whether it has asked for it, and is not only known by its record.
    has_asked: bool,
    heard_at: MonotonicTime,
    state: RecordState,
}

/// The neighbours whose records this instance keeps.
///
/// A neighbour asks one registrar at a time. Where two believe that they keep the same
/// record, the later write holds, and the other learns of it from the store.
#[derive(Clone, Debug)]
pub struct Registrar {
    own: InstanceId,
    kept: BTreeMap<InstanceId, Kept>,
    looked_at: Option<MonotonicTime>,
}

impl Registrar {
    /// Returns the registrar of an instance, which keeps nothing yet.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            kept: BTreeMap::new(),
            looked_at: None,
        }
    }

    /// Takes in that a neighbour lives and wants its record kept; `member` names this
    /// instance as its registrar.
    pub fn hear(&mut self, member: Member, now: MonotonicTime) {
        let before = self.kept.remove(&member.instance);
        let is_written = before
            .is_some_and(|before| before.member == member && before.state == RecordState::Written);
        let state = if is_written {
            RecordState::Written
        } else {
            RecordState::Unwritten
        };
        let kept = Kept {
            has_asked: true,
            heard_at: now,
            state,
            member,
        };
        self.kept.insert(kept.member.instance.clone(), kept);
    }

    /// Takes in that a neighbour is leaving.
    pub fn withdraw(&mut self, instance: &InstanceId) {
        if let Some(kept) = self.kept.get_mut(instance) {
            kept.state = RecordState::Leaving;
        }
    }

    /// Takes in a record that the store holds.
    ///
    /// One that another instance has written after this one is no longer this one's. One
    /// that names this instance is, whether it knows of it or not: nobody else removes it.
    pub fn see(&mut self, member: &Member, now: MonotonicTime) {
        let is_own = member.registrar.as_ref() == Some(&self.own);
        let Some(kept) = self.kept.get_mut(&member.instance) else {
            if is_own {
                self.adopt(member.clone(), now);
            }
            return;
        };
        match kept.state {
            RecordState::Written | RecordState::Leaving if !is_own => {
                self.kept.remove(&member.instance);
            }
            RecordState::Written if kept.member != *member => {
                kept.state = RecordState::Unwritten;
            }
            RecordState::Unwritten if kept.member == *member => {
                kept.state = RecordState::Written;
            }
            _ => {}
        }
    }

    fn adopt(&mut self, member: Member, now: MonotonicTime) {
        let kept = Kept {
            has_asked: false,
            heard_at: now,
            state: RecordState::Written,
            member,
        };
        self.kept.insert(kept.member.instance.clone(), kept);
    }

    /// Takes in that the store holds no record of an instance.
    pub fn miss(&mut self, instance: &InstanceId) {
        let Some(kept) = self.kept.get_mut(instance) else {
            return;
        };
        if !kept.has_asked {
            // The store told of the record's writing after it had been removed.
            self.kept.remove(instance);
        } else if kept.state == RecordState::Written {
            kept.state = RecordState::Unwritten;
        }
    }

    /// Takes in all records that the store holds.
    pub fn see_all(&mut self, members: &[Member], now: MonotonicTime) {
        let present: BTreeSet<&InstanceId> =
            members.iter().map(|member| &member.instance).collect();
        let kept: Vec<InstanceId> = self.kept.keys().cloned().collect();
        for instance in kept {
            if !present.contains(&instance) {
                self.miss(&instance);
            }
        }
        for member in members {
            self.see(member, now);
        }
    }

    /// Takes in that the lease has ended under which the records stood.
    pub fn lose_lease(&mut self) {
        self.kept.retain(|_, kept| kept.has_asked);
        for kept in self.kept.values_mut() {
            if kept.state == RecordState::Written {
                kept.state = RecordState::Unwritten;
            }
        }
    }

    /// Returns what is to be changed in the store, at most `count` records.
    ///
    /// It is to be asked for several times a second: neighbours that have fallen silent
    /// are noticed here.
    pub fn due(&mut self, count: usize, now: MonotonicTime) -> RecordChanges {
        self.notice_silence(now);
        let mut changes = RecordChanges::default();
        for kept in self.kept.values() {
            if changes.written.len() + changes.removed.len() >= count {
                break;
            }
            match kept.state {
                RecordState::Unwritten => changes.written.push(kept.member.clone()),
                RecordState::Leaving => changes.removed.push(kept.member.instance.clone()),
                RecordState::Written => {}
            }
        }
        changes
    }

    /// Notes that the store has taken changes.
    pub fn confirm(&mut self, changes: &RecordChanges) {
        for member in &changes.written {
            if let Some(kept) = self.kept.get_mut(&member.instance)
                && kept.state == RecordState::Unwritten
                && kept.member == *member
            {
                kept.state = RecordState::Written;
            }
        }
        for instance in &changes.removed {
            let is_leaving = |kept: &Kept| kept.state == RecordState::Leaving;
            if self.kept.get(instance).is_some_and(is_leaving) {
                self.kept.remove(instance);
            }
        }
    }

    /// Tells whether no neighbour's record is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn notice_silence(&mut self, now: MonotonicTime) {
        let looked_at = self.looked_at.replace(now);
        let stood_still = looked_at.is_some_and(|looked_at| now - looked_at > LATE_TIME);
        for kept in self.kept.values_mut() {
            if stood_still {
                kept.heard_at = now;
            } else if now - kept.heard_at > SILENCE_TIME {
                kept.state = RecordState::Leaving;
            }
        }
    }
}
