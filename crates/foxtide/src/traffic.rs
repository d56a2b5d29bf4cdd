//! Keeps the request path's decisions in step with what the instance knows.

use crate::tables::Tables;
use foxtide_core::ids::{OrganisationId, RegionId};
use foxtide_core::steering::{FleetView, HeardReport, ViewOptions};
use foxtide_core::time::MonotonicTime;
use foxtide_entry::{Clock, SystemClock, TrafficTables};
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

/// The time between two looks at configurations and members.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);

/// Hands configurations and the view of the fleet to the request path.
#[derive(Debug)]
pub(crate) struct TrafficFollower {
    pub(crate) tables: Arc<Tables>,
    pub(crate) traffic: Arc<TrafficTables>,
    pub(crate) clock: SystemClock,
}

impl TrafficFollower {
    /// Follows for good.
    pub(crate) async fn run(self) {
        loop {
            self.follow(self.clock.now());
            Timer::after(FOLLOW_INTERVAL).await;
        }
    }

    fn follow(&self, now: MonotonicTime) {
        let members = self.tables.members();
        let usable = members.iter().filter(|member| member.state.is_usable());
        let usable = u32::try_from(usable.count()).unwrap_or(u32::MAX);
        self.traffic.set_sharing_instances(usable, now);
        for (id, organisation) in self.tables.organisations().iter() {
            self.traffic.configure(organisation, now);
            // Without its peers' reports an instance keeps to its floors.
            if usable <= 1 {
                self.observe_alone(id, now);
            }
        }
    }

    fn observe_alone(&self, organisation: &OrganisationId, now: MonotonicTime) {
        let origin: &RegionId = &self.traffic.options().origin;
        let Some(report) = self.traffic.report(organisation, now) else {
            return;
        };
        let own = HeardReport {
            origin,
            made_at: now,
            report: &report,
        };
        let view = FleetView::from_reports([own], ViewOptions::default(), now);
        self.traffic.observe(organisation, &view, now);
    }
}
