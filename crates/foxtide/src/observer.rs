//! Records changes of members, load reports, plans, services and the own role,
//! and stalls of the process.

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

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two checks above which the process counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(3);

/// Periodically compares the state of the instance and records changes.
#[derive(Clone, Debug)]
pub(crate) struct Observer {
    pub(crate) recorder: Recorder,
    pub(crate) explainer: Explainer,
    pub(crate) tables: Arc<Tables>,
    pub(crate) mesh: MeshHandle,
    pub(crate) clock: SystemClock,
}

/// The state at the previous check.
#[derive(Debug, Default)]
struct PreviousState {
    members: MemberEvents,
    plans: PlanEvents,
    load: LoadEvents,
    was_watcher: bool,
    checked_at: Option<MonotonicTime>,
}

impl Observer {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut previous = PreviousState::default();
        loop {
            Timer::after(CHECK_INTERVAL).await;
            self.check_clock(&mut previous.checked_at);
            if self.mesh.synchronised() {
                self.record_member_changes(&mut previous.members);
                self.record_load_changes(&mut previous.load);
            }
            self.record_role_changes(&mut previous.was_watcher);
            self.record_plan_changes(&mut previous.plans);
            self.record_service_changes();
        }
    }

    fn check_clock(&self, checked_at: &mut Option<MonotonicTime>) {
        let now = self.clock.now();
        let since_last = checked_at.map_or(Duration::ZERO, |last| now.since(last));
        if since_last > STALL_THRESHOLD {
            let detail = format!("for_ms={}", since_last.as_millis());
            self.recorder
                .record(EventCode::WorkerStalled, EventFields::detail(detail));
        }
        *checked_at = Some(now);
    }

    fn record_member_changes(&self, members: &mut MemberEvents) {
        self.recorder
            .record_all(members.update(&self.mesh.members()));
    }

    fn record_load_changes(&self, load: &mut LoadEvents) {
        let organisations = self.tables.organisations();
        let ids = organisations.keys();
        let views = ids.map(|id| (id.clone(), self.mesh.fleet_view(id)));
        let views: Vec<_> = views.collect();
        self.recorder.record_all(load.update(&views));
    }

    fn record_role_changes(&self, was_watcher: &mut bool) {
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

    fn record_plan_changes(&self, plans: &mut PlanEvents) {
        let organisations = self.tables.organisations();
        self.recorder
            .record_all(plans.update(&organisations, self.clock.wall()));
    }

    fn record_service_changes(&self) {
        self.recorder
            .record_all(self.explainer.changes(self.clock.wall()));
    }
}
