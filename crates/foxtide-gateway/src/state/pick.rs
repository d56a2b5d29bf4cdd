//! The choice of the upstream for one attempt.

use super::State;
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::{
    Candidate,
    ColdTerms,
    ObjectKey,
    RegionShares,
    rank,
    shares_of, //
};
use foxtide_core::registry::{
    Registered,
    Registration, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The weight of a slot in a region that has no share of the requests: such an
/// upstream comes after all others.
const LAST_RESORT_WEIGHT: f64 = 1e-9;

/// What is asked for.
#[derive(Debug)]
pub(crate) struct PickRequest<'a> {
    /// The service.
    pub(crate) service: &'a ServiceId,
    /// The object that the request concerns.
    pub(crate) object: ObjectKey,
    /// The only regions that may serve it; empty: all.
    pub(crate) regions: &'a [RegionId],
    /// Upstreams that have been tried.
    pub(crate) tried: &'a [UpstreamId],
}

/// An upstream to send to, counted as in flight there.
#[derive(Clone, Debug)]
pub(crate) struct Pick {
    /// The upstream.
    pub(crate) registration: Arc<Registration>,
    /// Its place in the object's order; 0 is the object's own.
    pub(crate) rank: usize,
    /// Whether it is cold.
    pub(crate) is_cold: bool,
    /// What it has to do, as far as is known.
    pub(crate) occupancy: u32,
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoUpstream {
    /// None is registered where the request may be served.
    NoneRegistered,
    /// All that are left are cold and have had their part of requests.
    AllCold,
    /// All have been tried.
    AllTried,
}

impl NoUpstream {
    /// Returns the reason as it stands in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoneRegistered => "no_upstream_registered",
            Self::AllCold => "upstreams_cold",
            Self::AllTried => "upstreams_tried",
        }
    }
}

impl State {
    /// Picks an upstream for an attempt and counts the attempt as begun.
    ///
    /// # Errors
    ///
    /// Fails where no upstream may get the request now.
    pub(crate) fn pick(&mut self, request: &PickRequest<'_>) -> Result<Pick, NoUpstream> {
        let now = self.clock.now();
        if self.registry.has_doubts() {
            self.expire();
        }
        let allowed = self.allowed(request);
        if allowed.is_empty() {
            return Err(NoUpstream::NoneRegistered);
        }
        let untried: Vec<Registered> = allowed
            .iter()
            .filter(|upstream| !request.tried.contains(&upstream.registration.upstream))
            .cloned()
            .collect();
        if untried.is_empty() {
            return Err(NoUpstream::AllTried);
        }
        let order = self.order(request.object, &allowed, &untried);
        let healthy = |state: &Self, index: usize| !state.is_ejected(&untried[index], now);
        let mut preferred: Vec<usize> = Vec::new();
        let mut passed_over: Vec<usize> = Vec::new();
        for &index in &order {
            if healthy(self, index) {
                preferred.push(index);
            } else {
                passed_over.push(index);
            }
        }
        for index in preferred.into_iter().chain(passed_over) {
            let upstream = &untried[index];
            if upstream.is_cold(now) && !self.take_cold(request.service, upstream, now) {
                continue;
            }
            let rank = order.iter().position(|&at| at == index).unwrap_or(index);
            return Ok(self.begin(upstream, rank, now));
        }
        Err(NoUpstream::AllCold)
    }

    fn begin(&mut self, upstream: &Registered, rank: usize, now: MonotonicTime) -> Pick {
        let registration = Arc::clone(&upstream.registration);
        let health = self
            .health
            .entry(registration.upstream.clone())
            .or_default();
        let occupancy = health.occupancy(now);
        health.begin();
        Pick {
            registration,
            rank,
            is_cold: upstream.is_cold(now),
            occupancy,
        }
    }

    fn allowed(&self, request: &PickRequest<'_>) -> Vec<Registered> {
        let eligible = self.registry.eligible(request.service).iter();
        let is_allowed = |upstream: &&Registered| {
            request.regions.is_empty() || request.regions.contains(&upstream.registration.region)
        };
        eligible.filter(is_allowed).cloned().collect()
    }

    /// Returns the indices of `untried` in the order of the object.
    ///
    /// The weights are those among all that are allowed, so that an upstream
    /// that was tried does not move the objects of the others.
    fn order(
        &self,
        object: ObjectKey,
        allowed: &[Registered],
        untried: &[Registered],
    ) -> Vec<usize> {
        let mut slots: BTreeMap<RegionId, u32> = BTreeMap::new();
        for upstream in allowed {
            let registration = &upstream.registration;
            *slots.entry(registration.region.clone()).or_default() += registration.slots;
        }
        let place = &self.options.place;
        let shares = shares_of(&place.region, &slots, place.regions_count());
        let candidates: Vec<Candidate<'_>> = untried
            .iter()
            .map(|upstream| Candidate {
                upstream: &upstream.registration.upstream,
                weight: weight(&upstream.registration, &shares, &slots),
            })
            .collect();
        rank(object, &candidates)
    }

    fn is_ejected(&self, upstream: &Registered, now: MonotonicTime) -> bool {
        let health = self.health.get(&upstream.registration.upstream);
        health.is_some_and(|health| health.is_ejected(now))
    }

    fn take_cold(
        &mut self,
        service: &ServiceId,
        upstream: &Registered,
        now: MonotonicTime,
    ) -> bool {
        let routes = self.routes.as_ref();
        let terms = routes.and_then(|routes| routes.service(service));
        let terms = ColdTerms {
            rate_rps: terms.map_or(0.0, |terms| terms.cold_rate_rps),
            overshoot: self.bounds().cold_overshoot,
            slack_rps: self.bounds().cold_slack_rps,
        };
        let own = &self.options.place.instance;
        // An instance that the others do not count has no part of the rate.
        let instances = self.members.names();
        let upstream = &upstream.registration.upstream;
        self.cold.try_take(upstream, &terms, own, &instances, now)
    }
}

fn weight(
    registration: &Registration,
    shares: &RegionShares,
    slots: &BTreeMap<RegionId, u32>,
) -> f64 {
    let own_slots = f64::from(registration.slots);
    let region_slots = slots.get(&registration.region).copied().unwrap_or(1).max(1);
    let share = shares.get(&registration.region).copied().unwrap_or(0.0);
    own_slots * (share / f64::from(region_slots)).max(LAST_RESORT_WEIGHT)
}
