//! Records what changes around an instance: members, its own role, services.

use crate::member_events::MemberEvents;
use foxtide_core::events::{EventCode, EventFields};
use foxtide_entry::{Clock, SystemClock};
use foxtide_events::{Explainer, Recorder};
use foxtide_mesh::MeshHandle;
use smol::Timer;
use std::time::Duration;

/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Looks once a second and records what is new.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    pub(crate) recorder: Recorder,
    pub(crate) explainer: Explainer,
    pub(crate) mesh: MeshHandle,
    pub(crate) clock: SystemClock,
}

impl Observer {
    /// Looks for good.
    pub(crate) async fn run(self) {
        let mut member_events = MemberEvents::default();
        let mut was_watcher = false;
        loop {
            Timer::after(LOOK_INTERVAL).await;
            if self.mesh.synchronised() {
                self.look_at_members(&mut member_events);
            }
            self.look_at_role(&mut was_watcher);
            self.look_at_services();
        }
    }

    fn look_at_members(&self, member_events: &mut MemberEvents) {
        for event in member_events.look(&self.mesh.members()) {
            self.recorder.record(event.code, event.fields);
        }
    }

    fn look_at_role(&self, was_watcher: &mut bool) {
        let is_watcher = self.mesh.is_watcher();
        if is_watcher != *was_watcher {
            let code = if is_watcher {
                EventCode::WatcherElected
            } else {
                EventCode::WatcherReleased
            };
            self.recorder.record(code, EventFields::default());
        }
        *was_watcher = is_watcher;
    }

    fn look_at_services(&self) {
        for change in self.explainer.changes(self.clock.wall()) {
            self.recorder.record(change.code, change.fields);
        }
    }
}
