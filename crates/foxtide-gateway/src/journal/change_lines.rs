//! Log lines about changes of upstreams and instances that arrive together.

use super::state_changes;
use foxtide_core::ids::InstanceId;
use foxtide_core::registry::{
    Member,
    RegistryChange, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};

/// The most changes of a batch that get a line each: a start or a lost availability zone changes
/// thousands at the same time, on every instance.
const LINES_MAX: u64 = 32;

/// Logs the changes of one batch; those beyond the limit are counted, and the counts are logged
/// when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct ChangeLines {
    changes: u64,
    added: u64,
    restarted: u64,
    removed: u64,
    doubted: u64,
    joined: u64,
    left: u64,
}

impl ChangeLines {
    /// Logs or counts a change of the registered upstreams.
    pub(crate) fn registry_changed(&mut self, change: &RegistryChange) {
        if *change == RegistryChange::None {
            return;
        }
        if self.has_line() {
            return state_changes::registry_changed(change);
        }
        match change {
            RegistryChange::None => {}
            RegistryChange::Joined(_) => self.added += 1,
            RegistryChange::Restarted(_) => self.restarted += 1,
            RegistryChange::Left(_) => self.removed += 1,
            RegistryChange::Missing(_) => self.doubted += 1,
        }
    }

    /// Logs or counts an instance that joined.
    pub(crate) fn member_joined(&mut self, member: &Member) {
        if self.has_line() {
            state_changes::member_joined(member);
        } else {
            self.joined += 1;
        }
    }

    /// Logs or counts an instance whose lease has ended.
    pub(crate) fn member_left(&mut self, instance: &InstanceId, is_gone: bool) {
        if self.has_line() {
            state_changes::member_left(instance, is_gone);
        } else {
            self.left += 1;
        }
    }

    fn has_line(&mut self) -> bool {
        self.changes += 1;
        self.changes <= LINES_MAX
    }
}

impl Drop for ChangeLines {
    fn drop(&mut self) {
        if self.changes <= LINES_MAX {
            return;
        }
        log_event!(
            EventCode::StoreChangesSummarised,
            upstreams_added = self.added,
            upstreams_restarted = self.restarted,
            upstreams_removed = self.removed,
            upstreams_doubted = self.doubted,
            instances_joined = self.joined,
            instances_left = self.left
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::ids::UpstreamId;

    /// Pattern: a fleet starts and each instance learns of all upstreams at the same time; the
    /// lines must not grow with the upstreams.
    #[test]
    fn verify_the_lines_of_a_batch_do_not_grow_with_it() {
        let mut lines = ChangeLines::default();
        for number in 0..10_000 {
            let upstream: UpstreamId = format!("i-{number}").parse().unwrap();
            lines.registry_changed(&RegistryChange::Joined(upstream));
            lines.registry_changed(&RegistryChange::None);
        }
        let instance = "edge-1".parse().unwrap();
        lines.member_left(&instance, true);
        assert_eq!(lines.changes, 10_001);
        assert_eq!(lines.added, 10_000 - LINES_MAX);
        assert_eq!(lines.left, 1);
    }
}
