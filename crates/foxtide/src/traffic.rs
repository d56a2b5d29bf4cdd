//! Updates the request path from configurations and members, and publishes its
//! load reports to peers.

use crate::readiness::Readiness;
use crate::tables::Tables;
use foxtide_core::choice::Sharing;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::ids::OrganisationId;
use foxtide_core::time::MonotonicTime;
use foxtide_entry::{
    Clock,
    SystemClock,
    TrafficTables, //
};
use foxtide_events::Recorder;
use foxtide_mesh::MeshHandle;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Passes configurations and the fleet view to the request path, and its load
/// reports to the mesh.
#[derive(Debug)]
pub(crate) struct TrafficUpdater {
    pub(crate) tables: Arc<Tables>,
    pub(crate) traffic: Arc<TrafficTables>,
    pub(crate) mesh: MeshHandle,
    pub(crate) recorder: Recorder,
    pub(crate) readiness: Readiness,
    pub(crate) clock: SystemClock,
}

impl TrafficUpdater {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let mut report_at = self.clock.now();
        loop {
            let now = self.clock.now();
            self.update(now);
            self.update_readiness(now);
            if now >= report_at {
                self.report(now);
                report_at = now + self.mesh.load_interval();
            }
            Timer::after(UPDATE_INTERVAL).await;
        }
    }

    fn update(&self, now: MonotonicTime) {
        let members = self.tables.members();
        let usable = members.iter().filter(|member| member.state.is_usable());
        let usable = usable.map(|member| (&member.instance, &member.region));
        let sharing = Sharing::among(self.tables.own(), usable);
        self.traffic.set_sharing(sharing, now);
        for (id, organisation) in self.tables.organisations().iter() {
            self.traffic.configure(organisation, now);
            self.observe(id, now);
        }
    }

    /// Marks the instance as serving once all organisations are ready.
    fn update_readiness(&self, now: MonotonicTime) {
        if !self.readiness.is_configured() || self.readiness.is_serving() {
            return;
        }
        let organisations = self.tables.organisations();
        let is_ready = |id: &OrganisationId| {
            let ready = self.traffic.inspect(id, |steering| steering.is_ready(now));
            ready.unwrap_or(false)
        };
        if organisations.keys().all(is_ready) && self.readiness.set_serving() {
            self.mesh.serve();
            let detail = format!("organisations={}", organisations.len());
            let fields = EventFields::detail(detail);
            self.recorder.record(EventCode::ProcessReady, fields);
        }
    }

    fn observe(&self, organisation: &OrganisationId, now: MonotonicTime) {
        let view = self.mesh.fleet_view(organisation);
        self.traffic.observe(organisation, &view, now);
    }

    fn report(&self, now: MonotonicTime) {
        for organisation in self.tables.organisations().keys() {
            if let Some(report) = self.traffic.report(organisation, now) {
                self.mesh.publish_load(organisation, report);
            }
        }
    }
}
