//! What a fleet of instances is made of.

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

/// What a fleet of instances is made of: the product's decisions or a simpler
/// baseline.
pub(crate) trait Decider {
    /// Starts an instance.
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        options: &SteeringOptions,
    ) -> Self;
    /// Takes over a configuration.
    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime);
    /// Takes over a view.
    fn observe(&mut self, view: &FleetView, now: MonotonicTime);
    /// Notes a region's health as the instance sees it.
    fn set_health(&mut self, region: &RegionId, healthy: Share);
    /// Moves on.
    fn tick(&mut self, now: MonotonicTime, wall: WallTime);
    /// Returns what to publish.
    fn report(&mut self, now: MonotonicTime) -> InstanceReport;
    /// Tells whether look-ups may name it.
    fn is_ready(&self, now: MonotonicTime) -> bool;
    /// Decides on one attempt.
    fn admit(&mut self, attempt: &Attempt<'_>, now: MonotonicTime) -> Admission;
    /// Notes a receiver's refusal.
    fn refused_by(&mut self, region: &RegionId, now: MonotonicTime);
    /// Returns the row in use for callers of an origin.
    fn row(&self, service: &ServiceId, origin: &RegionId) -> Option<BTreeMap<RegionId, Share>>;
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt<'a> {
    /// The service.
    pub(crate) service: &'a ServiceId,
    /// The region of the caller.
    pub(crate) origin: &'a RegionId,
    /// The draw that chooses the region.
    pub(crate) draw: f64,
    /// How long it has waited.
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

    fn refused_by(&mut self, region: &RegionId, now: MonotonicTime) {
        Steering::refused_by(self, region, now);
    }

    fn row(&self, service: &ServiceId, origin: &RegionId) -> Option<BTreeMap<RegionId, Share>> {
        self.row_from(service, origin)
    }
}
