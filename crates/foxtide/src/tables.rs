//! Shared tables of active configurations, members and available instances.
//!
//! Readers take a lock-free snapshot. Writers hold `write_lock` while they
//! build the next snapshot; no other lock is taken under it.

use arc_swap::ArcSwap;
use foxtide_core::idempotency::OwnerId;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    OrganisationId, //
};
use foxtide_core::membership::Member;
use foxtide_core::organisation::{
    DrainTarget,
    Organisation, //
};
use foxtide_core::time::WallTime;
use foxtide_core::units::Revision;
use foxtide_entry::ServingInstance;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

type Organisations = BTreeMap<OrganisationId, Arc<Organisation>>;

/// The shared tables of one instance.
#[derive(Debug)]
pub struct Tables {
    own: InstanceId,
    leaving: AtomicBool,
    organisations: ArcSwap<Organisations>,
    members: ArcSwap<Vec<Member>>,
    instances: ArcSwap<Arc<[ServingInstance]>>,
    write_lock: Mutex<()>,
}

/// The outcome of [`Tables::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The document was newer and is now active.
    Applied,
    /// The same or a newer revision is already active.
    NotNewer(Revision),
}

impl Tables {
    /// Creates empty tables for the instance `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            leaving: AtomicBool::new(false),
            organisations: ArcSwap::default(),
            members: ArcSwap::default(),
            instances: ArcSwap::from_pointee(Vec::new().into()),
            write_lock: Mutex::new(()),
        }
    }

    /// Activates a document if its revision is newer than the active one.
    pub fn apply(&self, document: Arc<Organisation>) -> ApplyOutcome {
        let _guard = self.write_lock.lock();
        let current = self.organisations.load();
        if let Some(known) = current.get(&document.organisation)
            && known.revision >= document.revision
        {
            return ApplyOutcome::NotNewer(known.revision);
        }
        let mut next = Organisations::clone(&current);
        next.insert(document.organisation.clone(), document);
        self.organisations.store(Arc::new(next));
        ApplyOutcome::Applied
    }

    /// Returns the name of this instance.
    pub(crate) fn own(&self) -> &InstanceId {
        &self.own
    }

    /// Sets the members as reported by the mesh.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }

    /// Returns the members as last reported by the mesh.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Recomputes the instances that callers may use at `wall`.
    pub fn update_instances(&self, wall: WallTime) {
        let _guard = self.write_lock.lock();
        let organisations = self.organisations.load();
        let drained = DrainedPlaces::at(&organisations, wall);
        let members = self.members.load();
        let usable = |member: &&Member| {
            let own_leaving = member.instance == self.own && self.is_leaving();
            member.state.is_usable() && !own_leaving && !drained.covers(member)
        };
        let chosen: Vec<ServingInstance> = members
            .iter()
            .filter(usable)
            .map(serving_instance)
            .collect();
        let next: Arc<[ServingInstance]> = chosen.into();
        self.instances.store(Arc::new(next));
    }

    /// Returns all active configurations.
    pub fn organisations(&self) -> Arc<Organisations> {
        self.organisations.load_full()
    }

    /// Returns the active configuration of an organisation.
    pub fn organisation(&self, id: &OrganisationId) -> Option<Arc<Organisation>> {
        self.organisations.load().get(id).cloned()
    }

    /// Returns the instances that callers may use.
    pub fn instances(&self) -> Arc<[ServingInstance]> {
        Arc::clone(&self.instances.load())
    }

    /// Returns the caller address of an instance that is running.
    pub fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let members = self.members.load();
        let member = members.iter().find(|member| member.instance == *instance);
        let running = member.filter(|member| member.state.is_running());
        running.map(|member| member.caller_address)
    }

    /// Marks this instance as leaving.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}

/// The instances and availability zones with an active drain.
#[derive(Debug, Default)]
struct DrainedPlaces {
    instances: Vec<InstanceId>,
    availability_zones: Vec<AvailabilityZoneId>,
}

impl DrainedPlaces {
    fn at(organisations: &Organisations, wall: WallTime) -> Self {
        let mut drained = Self::default();
        let drains = organisations.values().flat_map(|it| &it.drains);
        for drain in drains.filter(|drain| drain.start_us <= wall) {
            match &drain.target {
                DrainTarget::Instance(id) => drained.instances.push(id.clone()),
                DrainTarget::AvailabilityZone(id) => drained.availability_zones.push(id.clone()),
                DrainTarget::Upstream { .. } | DrainTarget::Region(_) => {}
            }
        }
        drained
    }

    fn covers(&self, member: &Member) -> bool {
        self.instances.contains(&member.instance)
            || self.availability_zones.contains(&member.availability_zone)
    }
}

fn serving_instance(member: &Member) -> ServingInstance {
    ServingInstance {
        instance: member.instance.clone(),
        owner: OwnerId {
            instance: member.instance.clone(),
            process: member.process,
        },
        address: member.caller_address,
        region: member.region.clone(),
        availability_zone: member.availability_zone.clone(),
    }
}
