//! Picks the upstream of an attempt.

use super::placement::PlacementKey;
use super::{
    State,
    Unavailability, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::{
    ColdRateLimit,
    ObjectKey,
    UpstreamHealth,
    lacks_capacity, //
};
use foxtide_core::registry::{
    Registered,
    Registration, //
};
use foxtide_core::routing::Route;
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How many upstreams of an object's order are considered first: enough for four unreachable
/// ones and four refusals. The whole order is computed only if none of these is usable.
const FIRST_CHOICES: usize = 8;

/// The constraints of a pick.
#[derive(Debug)]
pub(crate) struct PickRequest<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) route: &'a Route,
    /// The object that the request concerns, if any.
    pub(crate) object: Option<ObjectKey>,
    /// The regions that may serve it; empty for all.
    pub(crate) regions: &'a [RegionId],
    /// Upstreams that were tried before.
    pub(crate) tried: &'a [UpstreamId],
    /// Upstreams whose rate limits left the request no token.
    pub(crate) throttled: &'a [UpstreamId],
    /// Whether cold and ejected upstreams are excluded.
    pub(crate) requires_warm: bool,
}

/// A picked upstream.
#[derive(Clone, Debug)]
pub(crate) struct Pick {
    pub(crate) registration: Arc<Registration>,
    /// Its place in the object's order; 0 is the first choice.
    pub(crate) rank: usize,
    pub(crate) is_cold: bool,
    /// Whether it states a rate limit.
    pub(crate) is_limited: bool,
    /// Its occupancy as known to this instance.
    pub(crate) occupancy: u32,
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoUpstream {
    /// None is registered where the request may be served.
    NoneRegistered,
    /// All that are left are cold and have used up their rate.
    AllCold,
    /// All have been tried.
    AllTried,
    /// All that are left get no requests for some time.
    AllUnavailable {
        /// Why the one that gets requests first does not get them now.
        cause: Unavailability,
        /// When that one gets requests.
        retry_after: Duration,
    },
}

impl NoUpstream {
    /// Returns the reason for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoneRegistered => "no_upstream_registered",
            Self::AllCold => "upstreams_cold",
            Self::AllTried => "upstreams_tried",
            Self::AllUnavailable { cause, .. } => cause.as_str(),
        }
    }
}

impl State {
    /// Picks an upstream for an attempt, and spends the rate of a cold one.
    ///
    /// # Errors
    ///
    /// Fails if no upstream may get the request now.
    pub(crate) fn pick(&mut self, request: &PickRequest<'_>) -> Result<Pick, NoUpstream> {
        let now = self.clock.now();
        if self.registry.has_missing() {
            self.expire();
        }
        let order = request.object;
        let order = order.unwrap_or_else(|| ObjectKey::random(fastrand::u64(..)));
        match self.pick_among(request, order, FIRST_CHOICES, now) {
            Ok(pick) => Ok(pick),
            Err(reason) if request.requires_warm => Err(reason),
            Err(_) => self.pick_among(request, order, usize::MAX, now),
        }
    }

    /// Picks an upstream of another region that is known to have a slot free, and spends the
    /// overflow budget.
    ///
    /// # Errors
    ///
    /// Fails if the own region is not short of upstreams, no other region has a free slot, or
    /// the budget is spent.
    pub(crate) fn pick_overflow(&mut self, request: &PickRequest<'_>) -> Result<Pick, NoUpstream> {
        let key = PlacementKey::new(request, &self.regional);
        let placement = self.placements.get(&key);
        if placement.is_none_or(|placement| !lacks_capacity(placement.own_share())) {
            return Err(NoUpstream::NoneRegistered);
        }
        let own = &self.options.place.region;
        let eligible = self.registry.eligible(request.service).iter();
        let regions = eligible.map(|upstream| &upstream.registration.region);
        let is_allowed = |region: &&RegionId| {
            *region != own && (request.regions.is_empty() || request.regions.contains(region))
        };
        let other_regions: BTreeSet<RegionId> = regions.filter(is_allowed).cloned().collect();
        if other_regions.is_empty() {
            return Err(NoUpstream::NoneRegistered);
        }
        let other_regions: Vec<RegionId> = other_regions.into_iter().collect();
        let pick = self.pick(&PickRequest {
            regions: &other_regions,
            ..*request
        })?;
        let now = self.clock.now();
        if pick.occupancy >= pick.registration.slots || !self.overflow.try_spend(now) {
            return Err(NoUpstream::AllTried);
        }
        Ok(pick)
    }

    /// Picks one of the first `count` upstreams in an object's order.
    fn pick_among(
        &mut self,
        request: &PickRequest<'_>,
        order: ObjectKey,
        count: usize,
        now: MonotonicTime,
    ) -> Result<Pick, NoUpstream> {
        let key = PlacementKey::new(request, &self.regional);
        let shift = key
            .kind
            .and_then(|kind| self.regional.shift(request.service, kind));
        let placement = self.placements.entry(key).or_default();
        placement.refresh(
            request,
            &self.registry,
            &self.options.place,
            &self.homed,
            shift,
        );
        let placed = placement.choices(order, count, now);
        if placed.is_empty() {
            return Err(NoUpstream::NoneRegistered);
        }
        let untried: Vec<(usize, Registered)> = placed
            .into_iter()
            .enumerate()
            .filter(|(_, upstream)| !request.tried.contains(upstream.upstream()))
            .collect();
        if untried.is_empty() {
            return Err(NoUpstream::AllTried);
        }
        let untried = self.without_unavailable(request, untried)?;
        let is_ejected = |(_, upstream): &(usize, Registered)| self.is_ejected(upstream, now);
        let (ejected, mut usable): (Vec<_>, Vec<_>) = untried.into_iter().partition(is_ejected);
        if count == usize::MAX {
            usable.extend(ejected);
        }
        for (rank, upstream) in usable {
            if upstream.is_cold(now) && !self.try_take_cold_share(request, &upstream, now) {
                continue;
            }
            return Ok(self.pick_with_rank(&upstream, rank, now));
        }
        Err(NoUpstream::AllCold)
    }

    /// Removes the upstreams that get no requests now. Those of the region of the first choice
    /// come first if that is removed, so that no traffic moves between regions.
    ///
    /// # Errors
    ///
    /// Fails if none is left.
    fn without_unavailable(
        &self,
        request: &PickRequest<'_>,
        mut choices: Vec<(usize, Registered)>,
    ) -> Result<Vec<(usize, Registered)>, NoUpstream> {
        if request.throttled.is_empty() && !self.has_unavailable() {
            return Ok(choices);
        }
        let region = |upstream: &Registered| upstream.registration.region.clone();
        let Some(first) = choices.first().map(|(rank, first)| (*rank, region(first))) else {
            return Ok(choices);
        };
        let mut earliest = None;
        choices.retain(|(_, upstream)| {
            let unavailability = self.unavailability(&upstream.registration);
            if let Some((cause, time)) = unavailability
                && earliest.is_none_or(|(_, known)| time < known)
            {
                earliest = Some((cause, time));
            }
            unavailability.is_none() && !request.throttled.contains(upstream.upstream())
        });
        let Some((rank, _)) = choices.first() else {
            let (cause, retry_after) =
                earliest.unwrap_or((Unavailability::Throttled, Duration::ZERO));
            return Err(NoUpstream::AllUnavailable { cause, retry_after });
        };
        if *rank != first.0 {
            choices.sort_by_key(|(_, upstream)| region(upstream) != first.1);
        }
        Ok(choices)
    }

    fn pick_with_rank(&self, upstream: &Registered, rank: usize, now: MonotonicTime) -> Pick {
        let registration = Arc::clone(&upstream.registration);
        let health = self.health.get(&registration.upstream);
        Pick {
            rank,
            is_cold: upstream.is_cold(now),
            is_limited: self.is_limited(&registration),
            occupancy: health.map_or(0, |health| health.occupancy(now)),
            registration,
        }
    }

    /// Tells whether a picked upstream may still get the request: it is neither draining nor
    /// restarted, has not turned cold and wants requests.
    pub(crate) fn is_pick_valid(&self, pick: &Pick) -> bool {
        let now = self.clock.now();
        let upstream = &pick.registration.upstream;
        let registered = self.registry.registered(upstream);
        registered.is_some_and(|registered| {
            registered
                .registration
                .is_incarnation_of(&pick.registration)
                && (pick.is_cold || !registered.is_cold(now))
                && !self.has_withdrawn(&pick.registration)
        })
    }

    pub(crate) fn begin_attempt(&mut self, registration: &Registration) {
        if self.registry.is_current(registration) {
            let upstream = registration.upstream.clone();
            self.health.entry(upstream).or_default().begin();
        }
    }

    /// Returns how many attempts at an upstream this instance has in flight.
    pub(crate) fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        let health = self.health.get(upstream);
        health.map_or(0, UpstreamHealth::in_flight)
    }

    fn is_ejected(&self, upstream: &Registered, now: MonotonicTime) -> bool {
        let health = self.health.get(&upstream.registration.upstream);
        health.is_some_and(|health| health.is_ejected(now))
    }

    fn try_take_cold_share(
        &mut self,
        request: &PickRequest<'_>,
        upstream: &Registered,
        now: MonotonicTime,
    ) -> bool {
        if request.requires_warm {
            return false;
        }
        let routes = self.routes.as_ref();
        let terms = routes.and_then(|routes| routes.service(request.service));
        let terms = ColdRateLimit {
            rate_rps: terms.map_or(0.0, |terms| terms.cold_rate_rps),
            overshoot: self.bounds().cold_overshoot,
            slack_rps: self.bounds().cold_slack_rps,
        };
        let own = &self.options.place.instance;
        // An instance that others do not count yet has no share of the rate.
        let instances = self.members.names();
        let upstream = &upstream.registration.upstream;
        self.cold.try_take(upstream, &terms, own, &instances, now)
    }
}
