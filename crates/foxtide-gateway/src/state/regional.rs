//! The demand of this instance's callers and the regional shares that follow the demand of all.

use super::State;
use super::region_gauges::RegionGauges;
use crate::options::Place;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::placement::demand::{
    DemandByOrigin,
    DemandByService,
    DemandMeter,
    KindHash,
    KnownDemand,
    PacedShift,
    RegionHash,
    ServiceHash,
    ServiceLoad,
    ShareShift,
    demand_shares, //
};
use foxtide_core::placement::{
    Demand,
    region_shares, //
};
use foxtide_core::registry::Registry;
use foxtide_core::routing::{
    RequestKind,
    RouteTable, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::time::Duration;

/// The time from the start of an instance in which it takes over shares without pace, so that it
/// sends objects to the same upstreams as the others. A whole fleet that starts knows no demand in
/// this time, as none is reported before 5 s.
const ADOPTION_TIME: Duration = Duration::from_secs(3);

/// The shifts of the kinds of a service.
type Shifts = HashMap<KindHash, PacedShift>;

/// The measured demand and the shifts of regional shares.
#[derive(Debug, Default)]
pub(super) struct RegionalShares {
    meter: DemandMeter,
    shifts: HashMap<ServiceId, Shifts>,
    /// The slots by region of the services that stand in several regions.
    slots: BTreeMap<ServiceId, BTreeMap<RegionId, u32>>,
    /// The generation of the registry from which `slots` was computed.
    generation: Option<u64>,
    gauges: RegionGauges,
    /// When the shares first followed the demand.
    since: Option<MonotonicTime>,
}

impl RegionalShares {
    /// Tells whether any service stands in several regions.
    pub(super) fn has_services(&self) -> bool {
        !self.slots.is_empty()
    }

    /// Returns the shift of a kind's shares with its generation; `None` if there is none.
    pub(super) fn shift(&self, service: &ServiceId, kind: KindHash) -> Option<(&ShareShift, u64)> {
        let paced = self.shifts.get(service)?.get(&kind)?;
        let shift = paced.shift();
        (!shift.is_none()).then(|| (shift, paced.generation()))
    }

    /// Counts the slots of services anew if the registry has changed.
    pub(super) fn update_slots(&mut self, registry: &Registry) {
        if self.generation == Some(registry.generation()) {
            return;
        }
        self.generation = Some(registry.generation());
        self.slots.clear();
        for upstream in registry.all_eligible() {
            let registration = &upstream.registration;
            let of_service = self.slots.entry(registration.service.clone()).or_default();
            let of_region = of_service.entry(registration.region.clone());
            *of_region.or_default() += registration.slots;
        }
        let has_slots = |slots: &&u32| **slots > 0;
        self.slots
            .retain(|_, slots| slots.values().filter(has_slots).count() > 1);
        let slots = &self.slots;
        self.shifts.retain(|service, _| slots.contains_key(service));
    }

    /// Returns the demand of this instance's callers for services in several regions; `None` while
    /// it has been measured too little.
    pub(super) fn demand(&mut self, now: MonotonicTime) -> Option<DemandByService> {
        self.meter.prune(now);
        if !self.meter.is_measured(now) {
            return None;
        }
        let mut demand = DemandByService::new();
        for (service, slots) in &self.slots {
            let of_service = self.meter.demand(service, slots, now);
            if of_service.total().get() > 0.0 {
                demand.insert(ServiceHash::of(service), of_service);
            }
        }
        Some(demand)
    }

    /// Moves the shares of all kinds towards those of the known demand, or towards those by slots.
    fn follow(
        &mut self,
        known: Option<&KnownDemand>,
        routes: &RouteTable,
        place: &Place,
        demand: &Demand,
        now: MonotonicTime,
    ) {
        let since = *self.since.get_or_insert(now);
        let objectives = objectives_by_service(routes, &self.slots);
        for (service, slots) in &self.slots {
            let hash = ServiceHash::of(service);
            let of_service = Kinds {
                place,
                slots,
                objectives: &objectives[service],
                demand: known.and_then(|known| known.of(hash)),
                is_new: now - since <= ADOPTION_TIME,
            };
            let shifts = self.shifts.entry(service.clone()).or_default();
            of_service.advance(shifts, demand, now);
            let base = region_shares(&place.region, slots, demand);
            let shares = of_service.shares_together(&base, shifts);
            self.gauges.set_shares(service, &shares);
            let demanded = |region| {
                let region = RegionHash::of(region);
                known.map_or(0.0, |known| known.slots_of(hash, region).get())
            };
            let regions = slots.keys();
            let demanded = regions.map(|region| (region.clone(), demanded(region)));
            self.gauges.set_demand(service, &demanded.collect());
        }
    }
}

/// The kinds of a service and the demand for them.
struct Kinds<'a> {
    place: &'a Place,
    slots: &'a BTreeMap<RegionId, u32>,
    objectives: &'a BTreeMap<KindHash, Duration>,
    demand: Option<&'a DemandByOrigin>,
    /// Whether the instance has just started.
    is_new: bool,
}

impl Kinds<'_> {
    fn advance(&self, shifts: &mut Shifts, homed: &Demand, now: MonotonicTime) {
        let base = region_shares(&self.place.region, self.slots, homed);
        let shares = self.demand.and_then(|demand| {
            let load = ServiceLoad {
                slots: self.slots,
                demand,
                objectives: self.objectives,
            };
            demand_shares(&self.place.region, &load)
        });
        shifts.retain(|kind, _| self.objectives.contains_key(kind));
        for kind in self.objectives.keys() {
            let target = shares.as_ref().map_or_else(ShareShift::default, |shares| {
                ShareShift::between(&base, shares.of(*kind))
            });
            let paced = shifts.entry(*kind).or_default();
            if self.is_new && self.demand.is_some() && paced.shift().is_none() {
                paced.adopt(&target, now);
            } else {
                paced.advance(&target, now);
            }
        }
    }

    /// Returns the shares in force of all kinds together, weighted by their demand in the own
    /// region.
    fn shares_together(
        &self,
        base: &BTreeMap<RegionId, f64>,
        shifts: &Shifts,
    ) -> BTreeMap<RegionId, f64> {
        let own = RegionHash::of(&self.place.region);
        let own = self.demand.and_then(|demand| demand.get(&own));
        let weight = |kind| {
            own.and_then(|own| own.kinds.get(kind))
                .map_or(0.0, |slots| slots.get())
        };
        let total: f64 = shifts.keys().map(weight).sum();
        let mut together = BTreeMap::new();
        for (kind, paced) in shifts {
            let part = if total > 0.0 {
                weight(kind) / total
            } else {
                1.0 / shifts.len() as f64
            };
            for (region, share) in paced.shift().apply(base) {
                *together.entry(region).or_default() += part * share;
            }
        }
        if together.is_empty() {
            together.clone_from(base);
        }
        together
    }
}

/// Returns the kinds of each service that any region may serve, with their latency objectives.
fn objectives_by_service<'a>(
    routes: &RouteTable,
    slots: &'a BTreeMap<ServiceId, BTreeMap<RegionId, u32>>,
) -> BTreeMap<&'a ServiceId, BTreeMap<KindHash, Duration>> {
    let mut objectives: BTreeMap<&ServiceId, BTreeMap<KindHash, Duration>> = slots
        .keys()
        .map(|service| (service, BTreeMap::new()))
        .collect();
    for route in routes
        .routes()
        .filter(|route| route.home_regions.is_empty())
    {
        for weighted in &route.services {
            if let Some(kinds) = objectives.get_mut(&weighted.service) {
                kinds.insert(KindHash::of(route.kind()), route.latency_objective);
            }
        }
    }
    objectives
}

impl State {
    /// Counts a caller's request towards the demand; `homes` are the only regions that may serve
    /// it, empty for all.
    pub(crate) fn record_demand(
        &mut self,
        service: &ServiceId,
        kind: RequestKind,
        homes: &[RegionId],
    ) {
        let now = self.clock.now();
        self.regional
            .meter
            .record_request(service, kind, homes, now);
    }

    /// Records how long an upstream in `region` took for a request.
    pub(crate) fn record_service_time(
        &mut self,
        service: &ServiceId,
        kind: RequestKind,
        region: &RegionId,
        time: Duration,
    ) {
        let is_own_region = *region == self.options.place.region;
        self.regional
            .meter
            .record_service_time(service, kind, time, is_own_region);
    }

    /// Moves the regional shares towards those of the demand, or towards those by slots if it is
    /// not known.
    pub(crate) fn follow_demand(&mut self, known: Option<&KnownDemand>) {
        let now = self.clock.now();
        let Some(routes) = self.routes.clone() else {
            return;
        };
        self.regional.update_slots(&self.registry);
        let place = &self.options.place;
        let demand = self.homed.demand(&[], place);
        self.regional.follow(known, &routes, place, &demand, now);
    }
}
