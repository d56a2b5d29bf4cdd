//! All organisations of an instance.

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

/// An upstream with what this instance makes of it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// The service.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: Upstream,
    /// Its state.
    pub status: UpstreamStatus,
}

/// How many attempts went to a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentCount {
    /// The service.
    pub service: ServiceId,
    /// The region.
    pub region: RegionId,
    /// Those that were planned to go there.
    pub planned: u64,
    /// Those that came for want of room elsewhere.
    pub spilled: u64,
}

/// A change of what this instance makes of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamChange {
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// The service.
    pub(crate) service: ServiceId,
    /// The region.
    pub(crate) region: RegionId,
    /// The change.
    pub(crate) change: StatusChange,
}

type Organisations = HashMap<OrganisationId, Arc<OrganisationTraffic>>;

/// The organisations that an instance serves, with every decision's state.
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

    /// Puts an organisation's configuration in force; an older one than that
    /// in force is left aside. Tells whether it is in force now.
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

    /// Takes an organisation out of service.
    pub fn remove(&self, organisation: &OrganisationId) {
        self.organisations.write().remove(organisation);
    }

    /// Returns an organisation's configuration that is in force.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<Arc<Organisation>> {
        Some(self.get(organisation)?.organisation())
    }

    /// Returns the names of all organisations.
    pub fn organisations(&self) -> Vec<OrganisationId> {
        self.organisations.read().keys().cloned().collect()
    }

    /// Takes over what is known of all instances that serve an organisation.
    pub fn observe(&self, organisation: &OrganisationId, view: &FleetView, now: MonotonicTime) {
        if let Some(traffic) = self.get(organisation) {
            traffic.observe(view, now);
        }
    }

    /// Notes how the upstreams are shared with other instances.
    pub fn set_sharing(&self, sharing: Sharing, now: MonotonicTime) {
        let before = std::mem::replace(&mut *self.sharing.lock(), sharing);
        if before != sharing {
            for traffic in self.all() {
                traffic.apply_sharing(&self.options, sharing, now);
            }
        }
    }

    /// Returns what to tell the peers of an organisation, and counts it as
    /// told.
    pub fn report(
        &self,
        organisation: &OrganisationId,
        now: MonotonicTime,
    ) -> Option<InstanceReport> {
        let traffic = self.get(organisation)?;
        Some(traffic.with_steering(|steering| steering.report(now)))
    }

    /// Runs `inspect` on an organisation's steering; requests wait meanwhile.
    pub fn inspect<T>(
        &self,
        organisation: &OrganisationId,
        inspect: impl FnOnce(&Steering) -> T,
    ) -> Option<T> {
        let traffic = self.get(organisation)?;
        Some(traffic.with_steering(|steering| inspect(steering)))
    }

    /// Returns an organisation's upstreams with what this instance makes of
    /// them.
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

    /// Returns how many attempts were sent to each region of an organisation's
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

    /// Moves all decisions on to `now`; the entry calls it ten times a second.
    pub(crate) fn tick(&self, now: MonotonicTime, wall: WallTime) {
        for traffic in self.all() {
            traffic.tick(now, wall);
        }
    }

    /// Returns what has changed of upstreams since the last call.
    pub(crate) fn changes(&self, now: MonotonicTime) -> Vec<UpstreamChange> {
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

    /// Returns an organisation's tables.
    pub(crate) fn get(&self, organisation: &OrganisationId) -> Option<Arc<OrganisationTraffic>> {
        self.organisations.read().get(organisation).cloned()
    }

    /// Returns the tables of all organisations.
    pub(super) fn all(&self) -> Vec<Arc<OrganisationTraffic>> {
        self.organisations.read().values().cloned().collect()
    }
}
