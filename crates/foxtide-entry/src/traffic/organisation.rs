//! Traffic state of an organisation: its steering and its services.

use super::options::TrafficOptions;
use super::service::ServiceTraffic;
use arc_swap::ArcSwap;
use foxtide_core::choice::Sharing;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
    Admission,
    FleetView,
    Steering, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::time::Duration;

type Services = HashMap<ServiceId, Arc<ServiceTraffic>>;

/// Traffic state of an organisation.
#[derive(Debug)]
pub(crate) struct OrganisationTraffic {
    organisation: ArcSwap<Organisation>,
    steering: Mutex<Steering>,
    services: ArcSwap<Services>,
    /// Whether there were drains at the last tick.
    drained: AtomicBool,
}

impl OrganisationTraffic {
    pub(super) fn new(
        organisation: Arc<Organisation>,
        options: &TrafficOptions,
        sharing: Sharing,
        now: MonotonicTime,
    ) -> Self {
        let steering = Steering::new(
            Arc::clone(&organisation),
            options.origin.clone(),
            options.steering.clone(),
        );
        let traffic = Self {
            organisation: ArcSwap::new(Arc::clone(&organisation)),
            steering: Mutex::new(steering),
            services: ArcSwap::default(),
            drained: AtomicBool::new(false),
        };
        traffic.configure_services(&organisation, options, sharing, now);
        traffic
    }

    /// Returns the configuration in force.
    pub(crate) fn organisation(&self) -> Arc<Organisation> {
        self.organisation.load_full()
    }

    pub(crate) fn service(&self, service: &ServiceId) -> Option<Arc<ServiceTraffic>> {
        self.services.load().get(service).cloned()
    }

    pub(super) fn services(&self) -> Arc<Services> {
        self.services.load_full()
    }

    /// Applies a configuration; the state of services that remain is preserved.
    pub(super) fn configure(
        &self,
        organisation: &Arc<Organisation>,
        options: &TrafficOptions,
        sharing: Sharing,
        now: MonotonicTime,
    ) {
        let mut steering = self.steering.lock();
        steering.configure(Arc::clone(organisation), now);
        drop(steering);
        self.configure_services(organisation, options, sharing, now);
        self.organisation.store(Arc::clone(organisation));
    }

    fn configure_services(
        &self,
        organisation: &Organisation,
        options: &TrafficOptions,
        sharing: Sharing,
        now: MonotonicTime,
    ) {
        let known = self.services.load_full();
        let mut services = Services::new();
        for service in &organisation.services {
            let id = &service.service;
            let traffic = known.get(id).cloned().unwrap_or_else(|| {
                Arc::new(ServiceTraffic::new(
                    &organisation.organisation,
                    id.clone(),
                    options,
                    now,
                ))
            });
            traffic.configure(service, options, sharing, now);
            services.insert(id.clone(), traffic);
        }
        self.services.store(Arc::new(services));
    }

    /// Applies how the upstreams are shared between instances.
    pub(super) fn apply_sharing(
        &self,
        options: &TrafficOptions,
        sharing: Sharing,
        now: MonotonicTime,
    ) {
        let organisation = self.organisation();
        self.configure_services(&organisation, options, sharing, now);
    }

    /// Updates the view of the fleet.
    pub(super) fn observe(&self, view: &FleetView, now: MonotonicTime) {
        self.steering.lock().observe(view, now);
    }

    /// Advances all state to `now`.
    pub(super) fn tick(&self, now: MonotonicTime, wall: WallTime) {
        let organisation = self.organisation();
        let drains = !organisation.drains.is_empty();
        // Runs once more after the last drain, to restore drained upstreams.
        let drained = self.drained.swap(drains, Ordering::Relaxed);
        for (id, service) in self.services().iter() {
            if drains || drained {
                service.apply_drains(&organisation, now, wall);
            }
            for (region, traffic) in service.regions().iter() {
                let healthy = traffic.with_balancer(|balancer| balancer.healthy_share(now));
                self.steering.lock().set_health(id, region, Some(healthy));
            }
        }
        self.steering.lock().tick(now, wall);
    }

    /// Decides whether to send one attempt of a request from a caller of the
    /// region `origin`, if known.
    pub(crate) fn admit(
        &self,
        service: &ServiceId,
        origin: Option<&RegionId>,
        draw: f64,
        waited: Duration,
        now: MonotonicTime,
    ) -> Admission {
        let mut steering = self.steering.lock();
        match origin {
            Some(origin) => steering.admit_from(service, origin, draw, waited, now),
            None => steering.admit(service, draw, waited, now),
        }
    }

    /// Records that upstreams of a region refused a request.
    pub(crate) fn refused_by(&self, region: &RegionId, now: MonotonicTime) {
        self.steering.lock().record_rejection(region, now);
    }

    /// Runs `inspect` on the locked steering.
    pub(super) fn with_steering<T>(&self, inspect: impl FnOnce(&mut Steering) -> T) -> T {
        inspect(&mut self.steering.lock())
    }
}
