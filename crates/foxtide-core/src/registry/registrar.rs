//! Maintains records of other instances in the store.
//!
//! In a large fleet the watchers write their followers' records under their own leases.
//! This replaces a lease and periodic renewals of each instance by one batched write
//! per change.

use super::Member;
use crate::ids::InstanceId;
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

/// Time without a heartbeat after which a record is removed. Covers a lost heartbeat and the switch
/// to another watcher; no longer than an instance's own lease would last. A follower asks about
/// each second, and 1.6 s later at the next watcher if one has died.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Delay between two checks above which this instance assumes that it was paused itself
/// and has unread heartbeats.
const CHECK_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// Pending changes to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordChanges {
    /// Records to write.
    pub written: Vec<Member>,
    /// Instances whose records to remove.
    pub removed: Vec<InstanceId>,
    /// The instance that writes, if it is to be listed as a source of copies.
    pub source: Option<Member>,
}

impl RecordChanges {
    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordState {
    /// The record must be written.
    Unwritten,
    /// The store has the record.
    Written,
    /// The instance is leaving or dead; its record must be removed.
    Leaving,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    /// False if the instance is known only by its record in the store.
    has_sent_heartbeat: bool,
    heartbeat_at: MonotonicTime,
    state: RecordState,
}

/// The followers whose records this instance maintains.
///
/// A follower uses one registrar at a time. If two registrars claim the same record,
/// the later write wins, and the other registrar learns of it from the store.
#[derive(Clone, Debug)]
pub struct Registrar {
    own: InstanceId,
    entries: BTreeMap<InstanceId, Entry>,
    checked_at: Option<MonotonicTime>,
}

impl Registrar {
    /// Returns the registrar of the instance `own`, without records.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            checked_at: None,
        }
    }

    /// Records that a follower is alive; `member` names this instance as its registrar.
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

    /// Marks the record of a leaving follower for removal.
    pub fn withdraw(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.state = RecordState::Leaving;
        }
    }

    /// Handles a record that the store reports.
    ///
    /// A record that another registrar wrote later is dropped here. An unknown record
    /// that names this instance is adopted, since no other instance would remove it.
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

    /// Handles the absence of an instance's record from the store.
    pub fn observe_missing(&mut self, instance: &InstanceId) {
        let Some(entry) = self.entries.get_mut(instance) else {
            return;
        };
        if !entry.has_sent_heartbeat {
            // The store reported the write after the removal.
            self.entries.remove(instance);
        } else if entry.state == RecordState::Written {
            entry.state = RecordState::Unwritten;
        }
    }

    /// Handles the complete list of records in the store.
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

    /// Handles the end of the lease under which the records were written.
    pub fn handle_lease_loss(&mut self) {
        self.entries.retain(|_, entry| entry.has_sent_heartbeat);
        for entry in self.entries.values_mut() {
            if entry.state == RecordState::Written {
                entry.state = RecordState::Unwritten;
            }
        }
    }

    /// Returns the pending changes, at most `count`, and checks heartbeats; must be
    /// called several times a second.
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

    /// Records that the store has applied changes.
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

    /// Returns whether no record is maintained.
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
