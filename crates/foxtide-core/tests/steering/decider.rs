//! The interface between the simulated fleet and the decisions under test.

use super::fixture::SERVICES;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
    Admission,
    FleetView,
    InstanceReport,
    Steering,
    SteeringOptions, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::Share;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Decides for one instance: [`Steering`] or a simpler baseline.
pub(crate) trait Decider {
    /// Creates the decider of a starting instance.
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        options: &SteeringOptions,
    ) -> Self;
    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime);
    fn observe(&mut self, view: &FleetView, now: MonotonicTime);
    /// Sets a region's health as observed by the instance.
    fn set_health(&mut self, region: &RegionId, healthy: Share);
    fn tick(&mut self, now: MonotonicTime, wall: WallTime);
    /// Returns the report to publish.
    fn report(&mut self, now: MonotonicTime) -> InstanceReport;
    /// Returns whether look-ups may return the instance.
    fn is_ready(&self, now: MonotonicTime) -> bool;
    /// Decides on one attempt to send a request.
    fn admit(&mut self, attempt: &Attempt<'_>, now: MonotonicTime) -> Admission;
    fn record_rejection(&mut self, region: &RegionId, now: MonotonicTime);
    /// Returns the current row for callers of an origin.
    fn row(&self, service: &ServiceId, origin: &RegionId) -> Option<BTreeMap<RegionId, Share>>;
}

#[derive(Clone, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) service: &'a ServiceId,
    /// The caller's region.
    pub(crate) origin: &'a RegionId,
    /// The uniform draw that selects the region.
    pub(crate) draw: f64,
    /// The time that the request has waited.
    pub(crate) waited: Duration,
}

impl Decider for Steering {
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        options: &SteeringOptions,
    ) -> Self {
        Self::new(Arc::clone(organisation), origin.clone(), options.clone())
    }

    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime) {
        Steering::configure(self, Arc::clone(organisation), now);
    }

    fn observe(&mut self, view: &FleetView, now: MonotonicTime) {
        Steering::observe(self, view, now);
    }

    fn set_health(&mut self, region: &RegionId, healthy: Share) {
        for service in SERVICES {
            let service = service.parse().expect("a service's name");
            Steering::set_health(self, &service, region, Some(healthy));
        }
    }

    fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        Steering::tick(self, now, wall);
    }

    fn report(&mut self, now: MonotonicTime) -> InstanceReport {
        Steering::report(self, now)
    }

    fn is_ready(&self, now: MonotonicTime) -> bool {
        Steering::is_ready(self, now)
    }

    fn admit(&mut self, attempt: &Attempt<'_>, now: MonotonicTime) -> Admission {
        self.admit_from(
            attempt.service,
            attempt.origin,
            attempt.draw,
            attempt.waited,
            now,
        )
    }

    fn record_rejection(&mut self, region: &RegionId, now: MonotonicTime) {
        Steering::record_rejection(self, region, now);
    }

    fn row(&self, service: &ServiceId, origin: &RegionId) -> Option<BTreeMap<RegionId, Share>> {
        self.row_from(service, origin)
    }
}
