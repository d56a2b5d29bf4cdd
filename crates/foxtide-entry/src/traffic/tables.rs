//! Traffic state of all organisations of an instance.

use super::options::TrafficOptions;
use super::organisation::OrganisationTraffic;
use foxtide_core::choice::{
    Sharing,
    StatusChange,
    UpstreamStatus, //
};
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Organisation,
    Upstream, //
};
use foxtide_core::steering::{
    FleetView,
    InstanceReport,
    Steering, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use parking_lot::{
    Mutex,
    RwLock, //
};
use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Upstream with its status as seen by this instance.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Service.
    pub service: ServiceId,
    /// Upstream.
    pub upstream: Upstream,
    /// Status.
    pub status: UpstreamStatus,
}

/// Number of attempts sent to a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentCount {
    /// Service.
    pub service: ServiceId,
    /// Region.
    pub region: RegionId,
    /// Attempts that were planned for the region.
    pub planned: u64,
    /// Attempts that spilled over from other regions.
    pub spilled: u64,
}

/// Change of an upstream's status as seen by this instance.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamChange {
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceId,
    pub(crate) region: RegionId,
    pub(crate) change: StatusChange,
}

type Organisations = HashMap<OrganisationId, Arc<OrganisationTraffic>>;

/// Traffic state of all organisations of an instance.
#[derive(Debug)]
pub struct TrafficTables {
    options: TrafficOptions,
    organisations: RwLock<Organisations>,
    sharing: Mutex<Sharing>,
}

impl TrafficTables {
    /// Returns tables without organisations.
    pub fn new(options: TrafficOptions) -> Self {
        Self {
            options,
            organisations: RwLock::default(),
            sharing: Mutex::default(),
        }
    }

    /// Returns the settings.
    pub fn options(&self) -> &TrafficOptions {
        &self.options
    }

    /// Applies an organisation's configuration if it is newer than the one in
    /// force. Returns whether it was applied.
    pub fn configure(&self, organisation: &Arc<Organisation>, now: MonotonicTime) -> bool {
        let sharing = *self.sharing.lock();
        let mut organisations = self.organisations.write();
        let known = organisations.get(&organisation.organisation);
        match known {
            Some(known) if known.organisation().revision >= organisation.revision => false,
            Some(known) => {
                known.configure(organisation, &self.options, sharing, now);
                true
            }
            None => {
                let organisation = Arc::clone(organisation);
                let id = organisation.organisation.clone();
                let traffic = OrganisationTraffic::new(organisation, &self.options, sharing, now);
                organisations.insert(id, Arc::new(traffic));
                true
            }
        }
    }

    /// Removes an organisation.
    pub fn remove(&self, organisation: &OrganisationId) {
        self.organisations.write().remove(organisation);
    }

    /// Returns the configuration in force of an organisation.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<Arc<Organisation>> {
        Some(self.get(organisation)?.organisation())
    }

    /// Returns the ids of all organisations.
    pub fn organisations(&self) -> Vec<OrganisationId> {
        self.organisations.read().keys().cloned().collect()
    }

    /// Updates the view of the instances that serve an organisation.
    pub fn observe(&self, organisation: &OrganisationId, view: &FleetView, now: MonotonicTime) {
        if let Some(traffic) = self.get(organisation) {
            traffic.observe(view, now);
        }
    }

    /// Sets how the upstreams are shared with other instances.
    pub fn set_sharing(&self, sharing: Sharing, now: MonotonicTime) {
        let before = std::mem::replace(&mut *self.sharing.lock(), sharing);
        if before != sharing {
            for traffic in self.all() {
                traffic.apply_sharing(&self.options, sharing, now);
            }
        }
    }

    /// Returns the report for the peers of an organisation and marks it as
    /// sent.
    pub fn report(
        &self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Option<InstanceReport> {
        let traffic = self.get(organisation)?;
        Some(traffic.with_steering(|steering| steering.report(now)))
    }

    /// Runs `inspect` on an organisation's steering, which stays locked
    /// meanwhile.
    pub fn inspect<T>(
        &self,
        organisation: &OrganisationId,
        inspect: impl FnOnce(&Steering) -> T,
    ) -> Option<T> {
        let traffic = self.get(organisation)?;
        Some(traffic.with_steering(|steering| inspect(steering)))
    }

    /// Returns an organisation's upstreams with their status as seen by this
    /// instance.
    pub fn upstreams(
        &self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Vec<UpstreamState> {
        let mut states = Vec::new();
        let Some(traffic) = self.get(organisation) else {
            return states;
        };
        for service in traffic.services().values() {
            for region in service.regions().values() {
                region.with_balancer(|balancer| {
                    let statuses = balancer.statuses(now);
                    states.extend(statuses.map(|(upstream, status)| UpstreamState {
                        service: service.id().clone(),
                        upstream: upstream.clone(),
                        status,
                    }));
                });
            }
        }
        states
    }

    /// Returns the numbers of attempts sent to each region of an organisation's
    /// services since the process started.
    pub fn sent(&self, organisation: &OrganisationId) -> Vec<SentCount> {
        let Some(traffic) = self.get(organisation) else {
            return Vec::new();
        };
        let mut counts = Vec::new();
        for service in traffic.services().values() {
            for (region, region_traffic) in service.regions().iter() {
                let (planned, spilled) = region_traffic.sent();
                counts.push(SentCount {
                    service: service.id().clone(),
                    region: region.clone(),
                    planned,
                    spilled,
                });
            }
        }
        counts
    }

    /// Advances all state to `now`.
    pub(crate) fn tick(&self, now: MonotonicTime, wall: WallTime) {
        for traffic in self.all() {
            traffic.tick(now, wall);
        }
    }

    /// Returns the status changes of upstreams since the last call.
    pub(crate) fn status_changes(&self, now: MonotonicTime) -> Vec<UpstreamChange> {
        let mut all = Vec::new();
        for traffic in self.all() {
            let organisation = traffic.organisation().organisation.clone();
            for service in traffic.services().values() {
                for (region, region_traffic) in service.regions().iter() {
                    let changes = region_traffic.with_balancer(|b| b.status_changes(now));
                    all.extend(changes.into_iter().map(|change| UpstreamChange {
                        organisation: organisation.clone(),
                        service: service.id().clone(),
                        region: region.clone(),
                        change,
                    }));
                }
            }
        }
        all
    }

    /// Returns the addresses of all upstreams.
    pub(crate) fn addresses(&self) -> HashSet<SocketAddr> {
        let mut addresses = HashSet::new();
        for traffic in self.all() {
            let organisation = traffic.organisation();
            let upstreams = organisation.services.iter().flat_map(|s| &s.upstreams);
            addresses.extend(upstreams.map(|upstream| upstream.address));
        }
        addresses
    }

    pub(crate) fn get(&self, organisation: &OrganisationId) -> Option<Arc<OrganisationTraffic>> {
        self.organisations.read().get(organisation).cloned()
    }

    pub(super) fn all(&self) -> Vec<Arc<OrganisationTraffic>> {
        self.organisations.read().values().cloned().collect()
    }
}
