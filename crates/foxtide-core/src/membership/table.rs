//! Table of the known members.

use super::member::{
    Member,
    MemberState, //
};
use crate::ids::{
    AvailabilityZoneId,
    InstanceId, //
};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A member and the time of its last update here.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed_at: MonotonicTime,
}

/// A member and the time of its last update here.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The member.
    pub member: &'a Member,
    /// Time of the last update.
    pub changed_at: MonotonicTime,
}

/// All members, including recently dead ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceId, Entry>,
    version: u64,
}

impl MemberTable {
    /// Applies an update if it replaces the current entry and returns whether it did.
    /// An unknown dead instance is not added.
    pub(crate) fn apply(&mut self, member: &Member, now: MonotonicTime) -> bool {
        let newer = match self.entries.get(&member.instance) {
            Some(entry) => member.replaces(&entry.member),
            None => member.state.is_running(),
        };
        if newer {
            self.put(member.clone(), now);
        }
        newer
    }

    /// Stores an entry unconditionally.
    pub(crate) fn put(&mut self, member: Member, now: MonotonicTime) {
        let entry = Entry {
            member,
            changed_at: now,
        };
        self.entries.insert(entry.member.instance.clone(), entry);
        self.version += 1;
    }

    /// Removes members that have been dead for `retention`.
    pub(crate) fn prune_dead(&mut self, retention: Duration, now: MonotonicTime) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.member.state.is_running() || now - entry.changed_at < retention
        });
        self.version += u64::from(self.entries.len() != before);
    }

    /// Returns the version; each change of the table increases it.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Member> {
        self.entries.get(instance).map(|entry| &entry.member)
    }

    /// Returns all members, ordered by name.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns all members with the time of their last update.
    pub(crate) fn views(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.entries.values().map(|entry| MemberView {
            member: &entry.member,
            changed_at: entry.changed_at,
        })
    }

    /// Returns the members whose process is presumed to run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_running())
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state == MemberState::Dead)
    }

    /// Returns the number of members of `zone` that died within `window` before `now`.
    pub(crate) fn deaths(
        &self,
        zone: &AvailabilityZoneId,
        window: Duration,
        now: MonotonicTime,
    ) -> usize {
        let recent = |entry: &&Entry| {
            entry.member.state == MemberState::Dead
                && entry.member.availability_zone == *zone
                && now - entry.changed_at < window
        };
        self.entries.values().filter(recent).count()
    }

    /// Returns a hash of all running members; a suspicion does not change it.
    pub(crate) fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for member in self.running() {
            hasher.update(member.instance.as_str().as_bytes());
            hasher.update(&member.incarnation.get().to_le_bytes());
            hasher.update(&[match member.state {
                MemberState::Joining => 2,
                MemberState::Leaving => 1,
                _ => 0,
            }]);
        }
        hasher.digest()
    }
}
