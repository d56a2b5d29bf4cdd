//! Applies the contents and changes of the store to the state.

use super::State;
use crate::journal::{
    ChangeLines,
    state_changes, //
};
use crate::store::Fact;
use foxtide_core::ids::AvailabilityZoneId;
use foxtide_core::registry::RegistryChange;
use foxtide_core::routing::{
    RouteDocument,
    RouteTable, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

/// How long upstreams count as cold after the evacuation of their zone ends, if no service
/// configures it.
const COLD_DURATION_DEFAULT: Duration = Duration::from_secs(3);

impl State {
    /// Replaces the state with the whole contents of the store.
    pub(crate) fn replace(&mut self, facts: Vec<Fact>) {
        let now = self.clock.now();
        let mut registrations = Vec::new();
        let mut members = Vec::new();
        let mut evacuated = HashSet::new();
        let mut unreadable = Vec::new();
        for fact in facts {
            match fact {
                Fact::Configuration(document) => self.configure(document),
                Fact::Registered(registration) => registrations.push(registration),
                Fact::Joined(member) => members.push(member),
                Fact::Evacuated(zone) => {
                    evacuated.insert(zone);
                }
                Fact::UpstreamUnreadable(upstream) => unreadable.push(upstream),
                Fact::Reinstated(_)
                | Fact::Unregistered(_)
                | Fact::Left(_)
                | Fact::Quarantined(_)
                | Fact::Released(_) => {}
            }
        }
        let mut changes: Vec<RegistryChange> = unreadable
            .iter()
            .map(|upstream| self.registry.remove_unreadable(upstream))
            .collect();
        changes.extend(self.registry.replace(registrations, now));
        self.handle_registry_changes(&changes, &mut ChangeLines::default());
        self.registrar.observe_all(&members, now);
        self.members.replace(members, self.registry.phase(), now);
        self.handle_evacuated_zones(evacuated);
    }

    /// Applies changes in order.
    pub(crate) fn apply(&mut self, facts: Vec<Fact>) {
        let mut lines = ChangeLines::default();
        for fact in facts {
            self.apply_one(fact, &mut lines);
        }
    }

    fn apply_one(&mut self, fact: Fact, lines: &mut ChangeLines) {
        let now = self.clock.now();
        match fact {
            Fact::Configuration(document) => self.configure(document),
            Fact::Registered(registration) => {
                let change = self.registry.register(registration, now);
                self.handle_registry_changes(&[change], lines);
            }
            Fact::UpstreamUnreadable(upstream) => {
                let change = self.registry.remove_unreadable(&upstream);
                self.handle_registry_changes(&[change], lines);
            }
            Fact::Unregistered(upstream) => {
                let change = self.registry.unregister(&upstream, now);
                self.handle_registry_changes(&[change], lines);
            }
            Fact::Joined(member) => {
                lines.member_joined(&member);
                self.registrar.observe(&member, now);
                self.members.join(member, now);
            }
            Fact::Quarantined(_) | Fact::Released(_) => {}
            Fact::Left(instance) => {
                self.registrar.observe_missing(&instance);
                let phase = self.registry.phase();
                let is_gone = self.members.leave(&instance, phase, now);
                lines.member_left(&instance, is_gone);
            }
            Fact::Evacuated(zone) => {
                let mut evacuated = self.registry.evacuated().clone();
                evacuated.insert(zone);
                self.handle_evacuated_zones(evacuated);
            }
            Fact::Reinstated(zone) => {
                let mut evacuated = self.registry.evacuated().clone();
                evacuated.remove(&zone);
                self.handle_evacuated_zones(evacuated);
            }
        }
    }

    fn configure(&mut self, document: RouteDocument) {
        let in_force = self.routes.as_ref().map(|routes| routes.version());
        if in_force.is_some_and(|version| version >= document.version) {
            state_changes::older_configuration_ignored(document.version, in_force);
            return;
        }
        let routes = RouteTable::new(document);
        state_changes::organisations_in_force(&routes);
        state_changes::configuration_in_force(routes.version(), in_force, routes.route_count());
        self.homed.initialise(&routes, self.clock.now());
        self.routes = Some(Arc::new(routes));
    }

    /// Applies the set of evacuated zones. After a restore of the store, missing ones stay
    /// evacuated for a grace period.
    fn handle_evacuated_zones(&mut self, mut zones: HashSet<AvailabilityZoneId>) {
        if self.evacuations_kept_until.is_some() {
            let missing = self.registry.evacuated().difference(&zones);
            self.missing_evacuations.extend(missing.cloned());
            self.missing_evacuations
                .retain(|zone| !zones.contains(zone));
            zones.extend(self.missing_evacuations.iter().cloned());
        }
        self.set_evacuated(zones);
    }

    /// Ends the evacuations that the store still lacks after the grace period.
    pub(super) fn drop_missing_evacuations(&mut self, now: MonotonicTime) {
        if self.evacuations_kept_until.is_none_or(|until| now < until) {
            return;
        }
        self.evacuations_kept_until = None;
        let missing = std::mem::take(&mut self.missing_evacuations);
        let evacuated = self.registry.evacuated();
        let kept = evacuated.difference(&missing).cloned().collect();
        self.set_evacuated(kept);
    }

    fn set_evacuated(&mut self, zones: HashSet<AvailabilityZoneId>) {
        if zones == *self.registry.evacuated() {
            return;
        }
        state_changes::zones_evacuated(&zones);
        let cold = self.cold_duration_max();
        self.registry.set_evacuated(zones, cold, self.clock.now());
    }

    fn cold_duration_max(&self) -> Duration {
        let routes = self.routes.as_ref();
        let longest = routes.and_then(|routes| routes.cold_duration_max());
        longest.unwrap_or(COLD_DURATION_DEFAULT)
    }

    pub(super) fn handle_registry_changes(
        &mut self,
        changes: &[RegistryChange],
        lines: &mut ChangeLines,
    ) {
        for change in changes {
            lines.registry_changed(change);
            if let RegistryChange::Left(upstream) | RegistryChange::Restarted(upstream) = change {
                self.health.remove(upstream);
            }
        }
    }
}
