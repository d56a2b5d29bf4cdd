//! Records what changes around an instance: members, its own role, plans,
//! figures of other regions, services, and pauses of its own process.

use crate::load_events::LoadEvents;
use crate::member_events::MemberEvents;
use crate::plan_events::PlanEvents;
use crate::tables::Tables;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_entry::{
    Clock,
    SystemClock, //
};
use foxtide_events::{
    Explainer,
    Recorder, //
};
use foxtide_mesh::MeshHandle;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// The time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// A look that comes later than this after the one before tells of a process
/// that was paused or starved.
const LATE: Duration = Duration::from_secs(3);

/// Looks once a second and records what is new.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    pub(crate) recorder: Recorder,
    pub(crate) explainer: Explainer,
    pub(crate) tables: Arc<Tables>,
    pub(crate) mesh: MeshHandle,
    pub(crate) clock: SystemClock,
}

/// What the looks compare with.
#[derive(Debug, Default)]
struct Seen {
    members: MemberEvents,
    plans: PlanEvents,
    load: LoadEvents,
    was_watcher: bool,
    looked_at: Option<MonotonicTime>,
}

impl Observer {
    /// Looks for good.
    pub(crate) async fn run(self) {
        let mut seen = Seen::default();
        loop {
            Timer::after(LOOK_INTERVAL).await;
            self.look_at_clock(&mut seen.looked_at);
            if self.mesh.synchronised() {
                self.look_at_members(&mut seen.members);
                self.look_at_load(&mut seen.load);
            }
            self.look_at_role(&mut seen.was_watcher);
            self.look_at_plans(&mut seen.plans);
            self.look_at_services();
        }
    }

    fn look_at_clock(&self, looked_at: &mut Option<MonotonicTime>) {
        let now = self.clock.now();
        let since_last = looked_at.map_or(Duration::ZERO, |last| now.since(last));
        if since_last > LATE {
            let detail = format!("for_ms={}", since_last.as_millis());
            self.recorder
                .record(EventCode::WorkerStalled, EventFields::detail(detail));
        }
        *looked_at = Some(now);
    }

    fn look_at_members(&self, members: &mut MemberEvents) {
        self.recorder.record_all(members.look(&self.mesh.members()));
    }

    fn look_at_load(&self, load: &mut LoadEvents) {
        let organisations = self.tables.organisations();
        let ids = organisations.keys();
        let views = ids.map(|id| (id.clone(), self.mesh.fleet_view(id)));
        let views: Vec<_> = views.collect();
        self.recorder.record_all(load.look(&views));
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

    fn look_at_plans(&self, plans: &mut PlanEvents) {
        let organisations = self.tables.organisations();
        self.recorder
            .record_all(plans.look(&organisations, self.clock.wall()));
    }

    fn look_at_services(&self) {
        self.recorder
            .record_all(self.explainer.changes(self.clock.wall()));
    }
}
