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
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// How late this instance may look after its neighbours before it takes itself for the
/// one that stood still: their questions lie unread then.
const CHECK_DELAY_MAX: Duration = Duration::from_millis(1_000);

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
struct Entry {
    member: Member,
    /// Whether it has asked for it, and is not only known by its record.
    has_sent_heartbeat: bool,
    heartbeat_at: MonotonicTime,
    state: RecordState,
}

/// The neighbours whose records this instance keeps.
///
/// A neighbour asks one registrar at a time. Where two believe that they keep the same
/// record, the later write holds, and the other learns of it from the store.
#[derive(Clone, Debug)]
pub struct Registrar {
    own: InstanceId,
    entries: BTreeMap<InstanceId, Entry>,
    checked_at: Option<MonotonicTime>,
}

impl Registrar {
    /// Returns the registrar of an instance, which keeps nothing yet.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            checked_at: None,
        }
    }

    /// Takes in that a neighbour lives and wants its record kept; `member` names this
    /// instance as its registrar.
    pub fn record_heartbeat(&mut self, member: Member, now: MonotonicTime) {
        let before = self.entries.remove(&member.instance);
        let is_written = before
            .is_some_and(|before| before.member == member && before.state == RecordState::Written);
        let state = if is_written {
            RecordState::Written
        } else {
            RecordState::Unwritten
        };
        let entry = Entry {
            has_sent_heartbeat: true,
            heartbeat_at: now,
            state,
            member,
        };
        self.entries.insert(entry.member.instance.clone(), entry);
    }

    /// Takes in that a neighbour is leaving.
    pub fn withdraw(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.state = RecordState::Leaving;
        }
    }

    /// Takes in a record that the store holds.
    ///
    /// One that another instance has written after this one is no longer this one's. One
    /// that names this instance is, whether it knows of it or not: nobody else removes it.
    pub fn observe(&mut self, member: &Member, now: MonotonicTime) {
        let is_own = member.registrar.as_ref() == Some(&self.own);
        let Some(entry) = self.entries.get_mut(&member.instance) else {
            if is_own {
                self.adopt(member.clone(), now);
            }
            return;
        };
        match entry.state {
            RecordState::Written | RecordState::Leaving if !is_own => {
                self.entries.remove(&member.instance);
            }
            RecordState::Written if entry.member != *member => {
                entry.state = RecordState::Unwritten;
            }
            RecordState::Unwritten if entry.member == *member => {
                entry.state = RecordState::Written;
            }
            _ => {}
        }
    }

    fn adopt(&mut self, member: Member, now: MonotonicTime) {
        let entry = Entry {
            has_sent_heartbeat: false,
            heartbeat_at: now,
            state: RecordState::Written,
            member,
        };
        self.entries.insert(entry.member.instance.clone(), entry);
    }

    /// Takes in that the store holds no record of an instance.
    pub fn observe_missing(&mut self, instance: &InstanceId) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if !entry.has_sent_heartbeat {
            // The store told of the record's writing after it had been removed.
            self.entries.remove(instance);
        } else if entry.state == RecordState::Written {
            entry.state = RecordState::Unwritten;
        }
    }

    /// Takes in all records that the store holds.
    pub fn observe_all(&mut self, members: &[Member], now: MonotonicTime) {
        let present: BTreeSet<&InstanceId> =
            members.iter().map(|member| &member.instance).collect();
        let instances: Vec<InstanceId> = self.entries.keys().cloned().collect();
        for instance in instances {
            if !present.contains(&instance) {
                self.observe_missing(&instance);
            }
        }
        for member in members {
            self.observe(member, now);
        }
    }

    /// Takes in that the lease has ended under which the records stood.
    pub fn handle_lease_loss(&mut self) {
        self.entries.retain(|_, entry| entry.has_sent_heartbeat);
        for entry in self.entries.values_mut() {
            if entry.state == RecordState::Written {
                entry.state = RecordState::Unwritten;
            }
        }
    }

    /// Returns what is to be changed in the store, at most `count` records.
    ///
    /// It is to be asked for several times a second: neighbours that have fallen silent
    /// are noticed here.
    pub fn pending_changes(&mut self, count: usize, now: MonotonicTime) -> RecordChanges {
        self.check_heartbeats(now);
        let mut changes = RecordChanges::default();
        for entry in self.entries.values() {
            if changes.written.len() + changes.removed.len() >= count {
                break;
            }
            match entry.state {
                RecordState::Unwritten => changes.written.push(entry.member.clone()),
                RecordState::Leaving => changes.removed.push(entry.member.instance.clone()),
                RecordState::Written => {}
            }
        }
        changes
    }

    /// Notes that the store has taken changes.
    pub fn confirm(&mut self, changes: &RecordChanges) {
        for member in &changes.written {
            if let Some(entry) = self.entries.get_mut(&member.instance)
                && entry.state == RecordState::Unwritten
                && entry.member == *member
            {
                entry.state = RecordState::Written;
            }
        }
        for instance in &changes.removed {
            let is_leaving = |entry: &Entry| entry.state == RecordState::Leaving;
            if self.entries.get(instance).is_some_and(is_leaving) {
                self.entries.remove(instance);
            }
        }
    }

    /// Tells whether no neighbour's record is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn check_heartbeats(&mut self, now: MonotonicTime) {
        let checked_at = self.checked_at.replace(now);
        let was_paused = checked_at.is_some_and(|checked_at| now - checked_at > CHECK_DELAY_MAX);
        for entry in self.entries.values_mut() {
            if was_paused {
                entry.heartbeat_at = now;
            } else if now - entry.heartbeat_at > HEARTBEAT_TIMEOUT {
                entry.state = RecordState::Leaving;
            }
        }
    }
}
