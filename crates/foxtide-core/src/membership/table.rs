//! The members of the fleet as one instance knows them.

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

/// A member and when the belief about it last changed here.
#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    changed_at: MonotonicTime,
}

/// A member and when the belief about it last changed here.
#[derive(Clone, Copy, Debug)]
pub struct MemberView<'a> {
    /// The belief.
    pub member: &'a Member,
    /// When it became this instance's belief.
    pub changed_at: MonotonicTime,
}

/// All members, the dead ones of late included.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    entries: BTreeMap<InstanceId, Entry>,
    version: u64,
}

impl MemberTable {
    /// Takes a belief in where it replaces the one held, and returns whether
    /// it did. A dead instance that was not known stays unknown.
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

    /// Puts a belief in whatever was held.
    pub(crate) fn put(&mut self, member: Member, now: MonotonicTime) {
        let entry = Entry {
            member,
            changed_at: now,
        };
        self.entries.insert(entry.member.instance.clone(), entry);
        self.version += 1;
    }

    /// Forgets instances that have been dead for `retention`.
    pub(crate) fn forget(&mut self, retention: Duration, now: MonotonicTime) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.member.state.is_running() || now - entry.changed_at < retention
        });
        self.version += u64::from(self.entries.len() != before);
    }

    /// Returns a number that changes with every change of the table.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns one member.
    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Member> {
        self.entries.get(instance).map(|entry| &entry.member)
    }

    /// Returns all members by name.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns all members with the time of the last change.
    pub(crate) fn views(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.entries.values().map(|entry| MemberView {
            member: &entry.member,
            changed_at: entry.changed_at,
        })
    }

    /// Returns the members whose process is thought to run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.state.is_running())
    }

    /// Returns the members thought dead.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state == MemberState::Dead)
    }

    /// Returns how many members of `zone` died within `window` before `now`.
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

    /// Returns a hash over all running members, whether suspect or not.
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
