//! The table of registered upstreams.

use super::{
    Registration,
    StorePhase,
    UpstreamState, //
};
use crate::ids::{
    AvailabilityZoneId,
    ServiceId,
    UpstreamId, //
};
use crate::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::Duration;

/// How long an incarnation that is known to be gone is remembered: its
/// registration lapses long before.
const DISCARDED_TIME: Duration = Duration::from_secs(60);

/// An upstream that may get requests.
#[derive(Clone, Debug)]
pub struct Registered {
    /// What it said of itself.
    pub registration: Arc<Registration>,
    /// Until when it is cold.
    pub cold_until: MonotonicTime,
}

impl Registered {
    /// Tells whether the upstream is cold.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }
}

/// What a change to the table meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that decisions depend on.
    None,
    /// An upstream may get requests from now on.
    Joined(UpstreamId),
    /// An upstream is leaving or gone.
    Left(UpstreamId),
    /// An upstream is missing, but the store was away: it is kept for now.
    Doubted(UpstreamId),
}

#[derive(Clone, Debug)]
struct Entry {
    registered: Registered,
    is_missing: bool,
}

/// All registered upstreams and evacuated availability zones.
///
/// A registration that disappears ends an upstream, except while the store is
/// away and until [`super::RETURN_TIME`] after its return.
#[derive(Clone, Debug)]
pub struct Registry {
    entries: BTreeMap<UpstreamId, Entry>,
    by_service: HashMap<ServiceId, Vec<Registered>>,
    evacuated: HashSet<AvailabilityZoneId>,
    /// Incarnations that are known to be gone; an incarnation never returns.
    discarded: HashMap<UpstreamId, MonotonicTime>,
    phase: StorePhase,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_service: HashMap::new(),
            evacuated: HashSet::new(),
            discarded: HashMap::new(),
            phase: StorePhase::Steady,
        }
    }
}

impl Registry {
    /// Returns the upstreams of a service that may get requests, in the order
    /// of their names.
    pub fn eligible(&self, service: &ServiceId) -> &[Registered] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of registered upstreams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether an upstream may get requests now.
    pub fn is_eligible(&self, upstream: &UpstreamId) -> bool {
        let entry = self.entries.get(upstream);
        entry.is_some_and(|entry| self.takes_requests(entry))
    }

    /// Takes in what an upstream says of itself.
    pub fn register(&mut self, registration: Registration, now: MonotonicTime) -> RegistryChange {
        let change = self.insert(registration, now);
        self.index();
        change
    }

    /// Takes in that a registration is no longer there.
    pub fn unregister(&mut self, upstream: &UpstreamId, now: MonotonicTime) -> RegistryChange {
        let change = self.miss(upstream, now);
        self.index();
        change
    }

    /// Removes an upstream whose address another one has: it is gone, whatever
    /// the store says.
    pub fn discard(&mut self, upstream: &UpstreamId, now: MonotonicTime) -> RegistryChange {
        if self.entries.remove(upstream).is_none() {
            return RegistryChange::None;
        }
        self.discarded.insert(upstream.clone(), now);
        self.index();
        RegistryChange::Left(upstream.clone())
    }

    /// Returns what an upstream that may get requests says of itself.
    pub fn registration(&self, upstream: &UpstreamId) -> Option<Arc<Registration>> {
        let entry = self.entries.get(upstream)?;
        let registration = &entry.registered.registration;
        self.takes_requests(entry).then(|| Arc::clone(registration))
    }

    /// Takes in all registrations that there are.
    pub fn replace(
        &mut self,
        registrations: Vec<Registration>,
        now: MonotonicTime,
    ) -> Vec<RegistryChange> {
        let present: HashSet<UpstreamId> = registrations
            .iter()
            .map(|registration| registration.upstream.clone())
            .collect();
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|upstream| !present.contains(*upstream))
            .cloned()
            .collect();
        let mut changes: Vec<RegistryChange> = missing
            .iter()
            .map(|upstream| self.miss(upstream, now))
            .collect();
        for registration in registrations {
            changes.push(self.insert(registration, now));
        }
        self.index();
        changes.retain(|change| *change != RegistryChange::None);
        changes
    }

    /// Notes that a call to the store failed.
    pub fn store_failed(&mut self) {
        self.phase = StorePhase::Away;
    }

    /// Notes that a call to the store was answered.
    pub fn store_answered(&mut self, now: MonotonicTime) {
        self.phase = match self.phase {
            StorePhase::Away => StorePhase::Back { since: now },
            phase if phase.believes_missing(now) => StorePhase::Steady,
            phase => phase,
        };
    }

    /// Returns what is known of the store's own health.
    pub fn phase(&self) -> StorePhase {
        self.phase
    }

    /// Tells whether an upstream is missing and kept for now.
    pub fn has_doubts(&self) -> bool {
        self.entries.values().any(|entry| entry.is_missing)
    }

    /// Removes the upstreams that were missing when the store was away and
    /// have not come back.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RegistryChange> {
        self.discarded
            .retain(|_, &mut since| now - since < DISCARDED_TIME);
        if !self.phase.believes_missing(now) {
            return Vec::new();
        }
        let gone: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_missing)
            .map(|(upstream, _)| upstream.clone())
            .collect();
        for upstream in &gone {
            self.entries.remove(upstream);
        }
        if !gone.is_empty() {
            self.index();
        }
        gone.into_iter().map(RegistryChange::Left).collect()
    }

    /// Sets which availability zones get nothing.
    ///
    /// The upstreams of a zone that is taken back are cold for
    /// `cold_duration` unless they say otherwise: they had nothing to do.
    pub fn set_evacuated(
        &mut self,
        zones: HashSet<AvailabilityZoneId>,
        cold_duration: Duration,
        now: MonotonicTime,
    ) {
        let returned: Vec<AvailabilityZoneId> =
            self.evacuated.difference(&zones).cloned().collect();
        for entry in self.entries.values_mut() {
            if returned.contains(&entry.registered.registration.availability_zone) {
                let cold_until = &mut entry.registered.cold_until;
                *cold_until = (*cold_until).max(now + cold_duration);
            }
        }
        self.evacuated = zones;
        self.index();
    }

    /// Returns the availability zones that get nothing.
    pub fn evacuated(&self) -> &HashSet<AvailabilityZoneId> {
        &self.evacuated
    }

    fn insert(&mut self, registration: Registration, now: MonotonicTime) -> RegistryChange {
        let upstream = registration.upstream.clone();
        if self.discarded.contains_key(&upstream) {
            return RegistryChange::None;
        }
        let cold_until = now + registration.cold_remaining;
        let registration = Arc::new(registration);
        let was_eligible = self.is_eligible(&upstream);
        let entry = Entry {
            registered: Registered {
                registration,
                cold_until,
            },
            is_missing: false,
        };
        self.entries.insert(upstream.clone(), entry);
        match (was_eligible, self.is_eligible(&upstream)) {
            (false, true) => RegistryChange::Joined(upstream),
            (true, false) => RegistryChange::Left(upstream),
            _ => RegistryChange::None,
        }
    }

    fn miss(&mut self, upstream: &UpstreamId, now: MonotonicTime) -> RegistryChange {
        let believed = self.phase.believes_missing(now);
        let Some(entry) = self.entries.get_mut(upstream) else {
            return RegistryChange::None;
        };
        let is_draining = entry.registered.registration.state == UpstreamState::Draining;
        if believed || is_draining {
            self.entries.remove(upstream);
            return RegistryChange::Left(upstream.clone());
        }
        if std::mem::replace(&mut entry.is_missing, true) {
            return RegistryChange::None;
        }
        RegistryChange::Doubted(upstream.clone())
    }

    fn takes_requests(&self, entry: &Entry) -> bool {
        let registration = &entry.registered.registration;
        registration.state == UpstreamState::Ready
            && !self.evacuated.contains(&registration.availability_zone)
    }

    fn index(&mut self) {
        let mut by_service: HashMap<ServiceId, Vec<Registered>> = HashMap::new();
        for entry in self.entries.values() {
            if self.takes_requests(entry) {
                let service = entry.registered.registration.service.clone();
                by_service
                    .entry(service)
                    .or_default()
                    .push(entry.registered.clone());
            }
        }
        self.by_service = by_service;
    }
}
