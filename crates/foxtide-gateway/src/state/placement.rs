//! The upstreams that may serve the requests of a service, with their weights.

use super::PickRequest;
use super::homed::HomedTraffic;
use crate::journal::state_changes;
use crate::options::Place;
use foxtide_core::ids::RegionId;
use foxtide_core::placement::{
    Candidate,
    Demand,
    ObjectKey,
    RegionShares,
    UpstreamWeights,
    first_choices, //
};
use foxtide_core::registry::{
    Registered,
    Registry, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a placement without requests is kept: its route may be gone.
const UNUSED_TTL: Duration = Duration::from_secs(60);

/// The least change of a region's share that is logged: a third of the 0.15 that organisations
/// are usually promised as the largest shift.
const LOGGED_SHARE_STEP: f64 = 0.05;

/// The upstreams of a service in the regions that may serve a route.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    /// The generations of the registry and of the homed load that this was computed from.
    generation: Option<(u64, u64)>,
    upstreams: Vec<Registered>,
    /// The upstreams' weights, in the same order.
    candidates: Vec<Candidate>,
    /// The share of the requests that the own region serves.
    own_share: f64,
    /// The shares as last logged.
    logged_shares: RegionShares,
    used_at: MonotonicTime,
}

impl Placement {
    /// Recomputes the weights if the registry or the homed load has changed.
    pub(super) fn refresh(
        &mut self,
        request: &PickRequest<'_>,
        registry: &Registry,
        place: &Place,
        homed: &HomedTraffic,
    ) {
        let generation = Some((registry.generation(), homed.generation()));
        if self.generation == generation {
            return;
        }
        self.generation = generation;
        let is_allowed = |upstream: &&Registered| {
            request.regions.is_empty() || request.regions.contains(&upstream.registration.region)
        };
        let eligible = registry.eligible(request.service).iter();
        self.upstreams = eligible.filter(is_allowed).cloned().collect();
        let demand = homed.demand(request.regions, place);
        let weights = self.weights(place, &demand);
        self.candidates = self.weighted(&weights);
        let own_share = weights.shares().get(&place.region);
        self.own_share = own_share.copied().unwrap_or_default();
        self.log_shares(request, weights.shares());
    }

    /// Returns the first `count` upstreams in the order of an object.
    pub(super) fn choices(
        &mut self,
        object: ObjectKey,
        count: usize,
        now: MonotonicTime,
    ) -> Vec<Registered> {
        self.used_at = now;
        let choices = first_choices(object, &self.candidates, count);
        let upstream = |index: usize| self.upstreams[index].clone();
        choices.into_iter().map(upstream).collect()
    }

    /// Returns the share of the requests that the own region serves.
    pub(super) fn own_share(&self) -> f64 {
        self.own_share
    }

    /// Tells whether the placement was used recently.
    pub(super) fn is_used(&self, now: MonotonicTime) -> bool {
        now - self.used_at < UNUSED_TTL
    }

    /// Logs the shares if one has moved by a step since they were last logged.
    fn log_shares(&mut self, request: &PickRequest<'_>, shares: &RegionShares) {
        let logged = |region: &RegionId| self.logged_shares.get(region).copied().unwrap_or(0.0);
        let has_moved = |(region, share): (&RegionId, &f64)| {
            (share - logged(region)).abs() >= LOGGED_SHARE_STEP
        };
        // A single region always serves all requests.
        if shares.len() > 1 && shares.iter().any(has_moved) {
            state_changes::region_shares_changed(request.service, shares);
            self.logged_shares = shares.clone();
        }
    }

    fn weights(&self, place: &Place, demand: &Demand) -> UpstreamWeights {
        let mut slots: BTreeMap<RegionId, u32> = BTreeMap::new();
        for upstream in &self.upstreams {
            let registration = &upstream.registration;
            let of_region = slots.entry(registration.region.clone()).or_default();
            *of_region = of_region.saturating_add(registration.slots);
        }
        UpstreamWeights::new(&place.region, slots, demand)
    }

    fn weighted(&self, weights: &UpstreamWeights) -> Vec<Candidate> {
        let candidate = |upstream: &Registered| {
            let registration = &upstream.registration;
            let weight = weights.of(&registration.region, registration.slots);
            Candidate::new(upstream.upstream(), weight)
        };
        self.upstreams.iter().map(candidate).collect()
    }
}
