//! The registry of upstreams.

use super::departures::Departures;
use super::incarnations::{
    Age,
    Incarnations, //
};
use super::registered::{
    Registered,
    RegistryChange, //
};
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
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::Duration;

/// All registered upstreams and evacuated availability zones.
///
/// An upstream whose registration disappears is removed, except during an outage of the
/// store and until [`super::REGISTRATION_GRACE`] after it.
#[derive(Clone, Debug)]
pub struct Registry {
    entries: BTreeMap<UpstreamId, Registered>,
    /// Eligible upstreams, ordered by name.
    by_service: HashMap<ServiceId, Vec<Registered>>,
    /// Number of changes of `by_service`.
    generation: u64,
    /// Upstreams whose registration disappeared during an outage of the store.
    missing: BTreeSet<UpstreamId>,
    evacuated: HashSet<AvailabilityZoneId>,
    incarnations: Incarnations,
    departures: Departures,
    phase: StorePhase,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_service: HashMap::new(),
            generation: 0,
            missing: BTreeSet::new(),
            evacuated: HashSet::new(),
            incarnations: Incarnations::default(),
            departures: Departures::default(),
            phase: StorePhase::Available,
        }
    }
}

impl Registry {
    /// Returns the upstreams of a service that may get requests, ordered by name.
    pub fn eligible(&self, service: &ServiceId) -> &[Registered] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all upstreams that may get requests, of all services.
    pub fn all_eligible(&self) -> impl Iterator<Item = &Registered> {
        self.by_service.values().flatten()
    }

    /// Returns a number that changes whenever the result of [`Registry::eligible`]
    /// does.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the number of registered upstreams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether an upstream may get requests.
    pub fn is_eligible(&self, upstream: &UpstreamId) -> bool {
        let entry = self.entries.get(upstream);
        entry.is_some_and(|entry| self.takes_requests(entry))
    }

    /// Applies an upstream's registration.
    pub fn register(&mut self, registration: Registration, now: MonotonicTime) -> RegistryChange {
        self.insert(registration, now)
    }

    /// Handles the disappearance of a registration.
    pub fn unregister(&mut self, upstream: &UpstreamId, now: MonotonicTime) -> RegistryChange {
        self.handle_missing(upstream, now)
    }

    /// Removes an upstream whose entry cannot be read, whatever the state of the store.
    pub fn remove_unreadable(&mut self, upstream: &UpstreamId) -> RegistryChange {
        if !self.entries.contains_key(upstream) {
            return RegistryChange::None;
        }
        self.remove(upstream);
        RegistryChange::Left(upstream.clone())
    }

    /// Removes an incarnation whose address another upstream uses: it is gone, whatever
    /// the store reports.
    pub fn discard(&mut self, registration: &Registration, now: MonotonicTime) -> RegistryChange {
        if !self.is_current(registration) {
            return RegistryChange::None;
        }
        let upstream = &registration.upstream;
        self.remove(upstream);
        self.incarnations.discard(registration, now);
        RegistryChange::Left(upstream.clone())
    }

    /// Returns whether an incarnation is the registered one of its name.
    pub fn is_current(&self, registration: &Registration) -> bool {
        let entry = self.entries.get(&registration.upstream);
        entry.is_some_and(|entry| entry.registration.is_incarnation_of(registration))
    }

    /// Returns the registration of an upstream that may get requests.
    pub fn registration(&self, upstream: &UpstreamId) -> Option<Arc<Registration>> {
        let registered = self.registered(upstream)?;
        Some(Arc::clone(&registered.registration))
    }

    /// Returns an upstream that may get requests.
    pub fn registered(&self, upstream: &UpstreamId) -> Option<&Registered> {
        let entry = self.entries.get(upstream)?;
        self.takes_requests(entry).then_some(entry)
    }

    /// Replaces all registrations.
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
            .map(|upstream| self.handle_missing(upstream, now))
            .collect();
        for registration in registrations {
            changes.push(self.insert(registration, now));
        }
        changes.retain(|change| *change != RegistryChange::None);
        changes
    }

    /// Records that a call to the store failed.
    pub fn store_failed(&mut self) {
        self.phase = StorePhase::Unavailable;
    }

    /// Records that a call to the store was answered.
    pub fn store_answered(&mut self, now: MonotonicTime) {
        self.phase = match self.phase {
            StorePhase::Unavailable => StorePhase::Recovering { since: now },
            phase if phase.treats_missing_as_gone(now) => StorePhase::Available,
            phase => phase,
        };
    }

    /// Records that the store was restored from an older copy, in which live upstreams
    /// may be missing and departed ones may be ready.
    pub fn store_restored(&mut self, now: MonotonicTime) {
        self.phase = StorePhase::Unavailable;
        let is_leaving = |entry: &&Registered| entry.registration.state == UpstreamState::Draining;
        let leaving = self.entries.values().filter(is_leaving);
        let leaving = leaving.map(|entry| &*entry.registration);
        self.departures.withhold(leaving, now);
    }

    /// Returns the availability of the store.
    pub fn phase(&self) -> StorePhase {
        self.phase
    }

    /// Returns whether any upstream is missing but not yet removed.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Removes the upstreams that disappeared during an outage of the store and have
    /// not returned.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RegistryChange> {
        let entries = &self.entries;
        self.incarnations
            .prune(now, |upstream| entries.contains_key(upstream));
        self.departures.prune(now);
        if !self.phase.treats_missing_as_gone(now) {
            return Vec::new();
        }
        let gone = std::mem::take(&mut self.missing);
        for upstream in &gone {
            self.remove(upstream);
        }
        gone.into_iter().map(RegistryChange::Left).collect()
    }

    /// Sets the availability zones whose upstreams get no requests.
    ///
    /// Upstreams of a zone that returns are cold for at least `cold_duration`, since
    /// they were idle.
    pub fn set_evacuated(
        &mut self,
        zones: HashSet<AvailabilityZoneId>,
        cold_duration: Duration,
        now: MonotonicTime,
    ) {
        let returned: Vec<AvailabilityZoneId> =
            self.evacuated.difference(&zones).cloned().collect();
        for entry in self.entries.values_mut() {
            if returned.contains(&entry.registration.availability_zone) {
                entry.cold_until = entry.cold_until.max(now + cold_duration);
            }
        }
        self.evacuated = zones;
        self.rebuild_index();
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated(&self) -> &HashSet<AvailabilityZoneId> {
        &self.evacuated
    }

    fn insert(&mut self, mut registration: Registration, now: MonotonicTime) -> RegistryChange {
        let upstream = registration.upstream.clone();
        if self.departures.is_withheld(&registration, now) {
            registration.state = UpstreamState::Draining;
        }
        self.departures.record_return(&registration);
        match self.incarnations.age_of(&registration) {
            Age::Outdated => return RegistryChange::None,
            Age::Undated => return self.remove_unreadable(&upstream),
            Age::Newest => self.incarnations.record(&registration, now),
        }
        let before = self.entries.get(&upstream);
        let is_restarted =
            before.is_some_and(|before| !before.registration.is_incarnation_of(&registration));
        let was_eligible = self.is_eligible(&upstream);
        let registered = Registered {
            cold_until: now + registration.cold_remaining,
            registration: Arc::new(registration),
        };
        self.remove(&upstream);
        self.add_to_index(&registered);
        self.entries.insert(upstream.clone(), registered);
        match (was_eligible, self.is_eligible(&upstream)) {
            (true, false) => RegistryChange::Left(upstream),
            _ if is_restarted => RegistryChange::Restarted(upstream),
            (false, true) => RegistryChange::Joined(upstream),
            _ => RegistryChange::None,
        }
    }

    fn handle_missing(&mut self, upstream: &UpstreamId, now: MonotonicTime) -> RegistryChange {
        let is_gone = self.phase.treats_missing_as_gone(now);
        let Some(entry) = self.entries.get(upstream) else {
            return RegistryChange::None;
        };
        let is_draining = entry.registration.state == UpstreamState::Draining;
        if is_gone || is_draining {
            self.departures.record_departure(&entry.registration, now);
            self.remove(upstream);
            return RegistryChange::Left(upstream.clone());
        }
        if !self.missing.insert(upstream.clone()) {
            return RegistryChange::None;
        }
        RegistryChange::Missing(upstream.clone())
    }

    fn takes_requests(&self, entry: &Registered) -> bool {
        entry.registration.state == UpstreamState::Ready
            && !self
                .evacuated
                .contains(&entry.registration.availability_zone)
    }

    fn remove(&mut self, upstream: &UpstreamId) {
        self.missing.remove(upstream);
        let Some(entry) = self.entries.remove(upstream) else {
            return;
        };
        let Some(eligible) = self.by_service.get_mut(&entry.registration.service) else {
            return;
        };
        if let Ok(at) = eligible.binary_search_by_key(&upstream, Registered::upstream) {
            eligible.remove(at);
            self.generation += 1;
        }
    }

    /// Adds an eligible upstream to the index.
    fn add_to_index(&mut self, entry: &Registered) {
        if !self.takes_requests(entry) {
            return;
        }
        let service = entry.registration.service.clone();
        let eligible = self.by_service.entry(service).or_default();
        if let Err(at) = eligible.binary_search_by_key(&entry.upstream(), Registered::upstream) {
            eligible.insert(at, entry.clone());
            self.generation += 1;
        }
    }

    fn rebuild_index(&mut self) {
        self.by_service.clear();
        self.generation += 1;
        let entries: Vec<Registered> = self.entries.values().cloned().collect();
        for entry in &entries {
            self.add_to_index(entry);
        }
    }
}
