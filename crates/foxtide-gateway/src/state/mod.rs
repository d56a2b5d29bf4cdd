//! What an instance knows and what it decides from.
//!
//! One lock covers it all; it is never held across a wait.

mod facts;
mod homed;
mod pick;
mod placement;
mod stored;

pub(crate) use pick::{
    NoUpstream,
    Pick,
    PickRequest, //
};

use crate::journal::beliefs;
use crate::options::{
    Bounds,
    GatewayOptions, //
};
use foxtide_clock::SteadyClock;
use foxtide_core::ids::{
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::placement::{
    AttemptResult,
    ColdRateLimiter,
    LoadReport,
    UpstreamHealth,
    overflow_budget, //
};
use foxtide_core::records::{
    Record,
    RecordLog, //
};
use foxtide_core::registry::{
    Member,
    Members,
    Registrar,
    Registration,
    Registry, //
};
use foxtide_core::retry::{
    RetryBudget,
    RetryBudgetOptions, //
};
use foxtide_core::routing::{
    Route,
    RouteTable,
    WeightedRoundRobin, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    RequestRate,
    Share, //
};
use homed::HomedTraffic;
use placement::Placement;
use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The part of the permitted repeats that is used. What is left covers that
/// instances come and go, so that their parts do not quite add up to one.
const RETRY_SHARE_USED: f64 = 0.7;

/// The part of an upstream's connections that may be idle; the rest is for
/// requests under way and for instances that come while others still count.
const IDLE_CONNECTIONS_SHARE: f64 = 0.5;

/// The most idle connections to one upstream: it works on three to five requests
/// at a time.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Everything that decisions rest on.
#[derive(Debug)]
pub(crate) struct State {
    pub(super) options: Arc<GatewayOptions>,
    bounds: Bounds,
    pub(super) clock: SteadyClock,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) registry: Registry,
    pub(super) members: Members,
    pub(super) health: HashMap<UpstreamId, UpstreamHealth>,
    pub(super) cold: ColdRateLimiter,
    /// By service and the regions that may serve.
    pub(super) placements: HashMap<(ServiceId, Vec<RegionId>), Placement>,
    homed: HomedTraffic,
    /// The records that this instance keeps for others.
    pub(super) registrar: Registrar,
    /// The peer that was last asked to keep this instance's record, and answered.
    registrar_address: Option<SocketAddr>,
    log: RecordLog,
    is_store_followed: bool,
    /// Until when it is not known whether the operators write again what the store has
    /// lost; nothing where it has lost nothing of late.
    unsettled_until: Option<MonotonicTime>,
    /// Evacuations that are missing in the store meanwhile.
    missing_evacuations: HashSet<AvailabilityZoneId>,
    /// How often the store has come back from an older copy.
    restorations: u64,
    /// The record of the configuration in force, and the version that the store told last.
    configuration: Option<Record>,
    told_version: u64,
    /// When the store, or a peer in its place, last told what it says.
    told_at: MonotonicTime,
    /// When an instance that knows nothing yet expects to know the configuration.
    ready_at: MonotonicTime,
    splits: HashMap<String, WeightedRoundRobin>,
    budgets: HashMap<ServiceId, RetryBudget>,
    /// What may go to other regions beyond their shares.
    overflow: RetryBudget,
}

impl State {
    /// Returns the state of an instance that knows nothing yet.
    pub(crate) fn new(options: Arc<GatewayOptions>, clock: SteadyClock) -> Self {
        Self {
            bounds: options.bounds,
            registrar: Registrar::new(options.place.instance.clone()),
            registrar_address: None,
            options,
            clock,
            routes: None,
            registry: Registry::default(),
            members: Members::default(),
            health: HashMap::new(),
            cold: ColdRateLimiter::default(),
            placements: HashMap::new(),
            homed: HomedTraffic::default(),
            log: RecordLog::default(),
            is_store_followed: false,
            unsettled_until: None,
            missing_evacuations: HashSet::new(),
            restorations: 0,
            configuration: None,
            told_version: 0,
            told_at: MonotonicTime::ZERO,
            ready_at: MonotonicTime::ZERO,
            splits: HashMap::new(),
            budgets: HashMap::new(),
            overflow: overflow_budget(MonotonicTime::ZERO),
        }
    }

    /// Returns what binds all instances together.
    pub(crate) fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Sets what binds all instances together.
    pub(crate) fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Returns the routes in force.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.clone()
    }

    /// Returns the instances that are alive.
    pub(crate) fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the record of this instance that the store holds, as far as is known.
    pub(crate) fn own_record(&self) -> Option<&Member> {
        self.members.get(&self.options.place.instance)
    }

    /// Tells whether this instance keeps its own record: it follows the store itself, for
    /// others or since the fleet is small.
    pub(crate) fn should_keep_own_record(&self) -> bool {
        let watchers = self.members.watchers(&self.options.place.region);
        watchers.is_empty() || self.is_among(&watchers)
    }

    /// Tells whether this instance follows the store for others.
    pub(crate) fn follows_for_others(&self) -> bool {
        let watchers = self.members.watchers(&self.options.place.region);
        self.is_among(&watchers)
    }

    fn is_among(&self, members: &[&Member]) -> bool {
        let own = &self.options.place.instance;
        members.iter().any(|member| member.instance == *own)
    }

    /// Tells whether another instance is to keep this one's record: that is how it is, or
    /// the store turns this one away and has no record of its own writing.
    pub(crate) fn wants_registrar(&self, is_turned_away: bool) -> bool {
        let has_own = self.own_record().is_some_and(|own| own.registrar.is_none());
        !self.should_keep_own_record() || (is_turned_away && !has_own)
    }

    /// Returns the peer that was last asked to keep this instance's record.
    pub(crate) fn registrar_address(&self) -> Option<SocketAddr> {
        self.registrar_address
    }

    /// Notes which peer was asked to keep this instance's record.
    pub(crate) fn set_registrar_address(&mut self, peer: SocketAddr) {
        self.registrar_address = Some(peer);
    }

    /// Returns the records that this instance keeps for others.
    pub(crate) fn registrar_mut(&mut self) -> &mut Registrar {
        &mut self.registrar
    }

    /// Notes when the first reading is expected to end.
    pub(crate) fn expect_ready_after(&mut self, time: Duration) {
        self.ready_at = self.clock.now() + time;
    }

    /// Returns how long the first reading is expected to take from now on.
    pub(crate) fn ready_after(&self) -> Duration {
        self.ready_at - self.clock.now()
    }

    /// Returns how long ago the store, or a peer in its place, told what it
    /// says.
    pub(crate) fn knowledge_age(&self) -> Duration {
        self.clock.now() - self.told_at
    }

    /// Drops what was kept in doubt while the store was away, and what is
    /// known of upstreams that are gone.
    pub(crate) fn expire(&mut self) {
        let now = self.clock.now();
        let changes = self.registry.expire(now);
        self.note_changes(&changes);
        self.members.expire(self.registry.phase(), now);
        self.settle_evacuations(now);
        self.cold.prune(now);
        self.homed.follow(self.routes.as_deref(), now);
        self.placements
            .retain(|_, placement| placement.is_used(now));
    }

    /// Picks the service of a route's next request.
    pub(crate) fn pick_service(&mut self, route: &Route) -> Option<ServiceId> {
        if let [only] = route.services.as_slice() {
            return Some(only.service.clone());
        }
        let counter = self.splits.entry(route.name.clone()).or_default();
        counter.pick(&route.services).cloned()
    }

    /// Notes that a caller's request is meant for a service.
    pub(crate) fn count_request(&mut self, service: &ServiceId) {
        self.budget(service).record_success();
        self.overflow.record_success();
    }

    /// Takes one repeat out of a service's budget; tells whether there was one.
    pub(crate) fn take_repeat(&mut self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.budget(service).try_spend(now)
    }

    /// Notes how an attempt ended.
    pub(crate) fn end_attempt(
        &mut self,
        registration: &Registration,
        result: AttemptResult,
        load: Option<LoadReport>,
    ) {
        if !self.registry.is_current(registration) {
            // It tells nothing of one that has started again since.
            return;
        }
        let now = self.clock.now();
        let upstream = &registration.upstream;
        let health = self.health.entry(upstream.clone()).or_default();
        let was_ejected = health.is_ejected(now);
        health.end(result, now);
        if let Some(load) = load {
            health.report(load, now);
        }
        if !was_ejected && health.is_ejected(now) {
            beliefs::upstream_ejected(upstream, health.failure_share(), result);
        }
    }

    /// Returns how many idle connections this instance may keep to an upstream of
    /// a service: its part of what the upstream takes from all instances, at least
    /// one, and no more than the upstream can be busy with.
    pub(crate) fn idle_connections_max(&self, service: &ServiceId) -> usize {
        let routes = self.routes.as_ref();
        let terms = routes.and_then(|routes| routes.service(service));
        let allowed = terms.map_or(u32::MAX, |terms| terms.connections_max);
        let instances = self.members.all().count().max(1);
        let part = f64::from(allowed) * IDLE_CONNECTIONS_SHARE / instances as f64;
        (part as usize).clamp(1, IDLE_CONNECTIONS_MAX)
    }

    /// Returns how long an upstream takes for a request of late.
    pub(crate) fn latency(&self, upstream: &UpstreamId) -> Option<Duration> {
        self.health.get(upstream)?.latency()
    }

    /// Notes that another upstream has an incarnation's address.
    pub(crate) fn address_taken(&mut self, registration: &Registration) {
        let now = self.clock.now();
        let change = self.registry.discard(registration, now);
        self.note_changes(&[change]);
    }

    fn budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        let now = self.clock.now();
        let bounds = &self.bounds;
        let instances = self.members.all().count().max(1) as f64;
        let options = RetryBudgetOptions {
            success_share: Share::clamped(bounds.retry_ratio * RETRY_SHARE_USED),
            floor_rps: RequestRate::ZERO,
            burst: (bounds.retry_burst * RETRY_SHARE_USED / instances).max(1.0),
        };
        let budget = self
            .budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(options.clone(), now));
        budget.set_options(options);
        budget
    }

    /// Tells whether an upstream may get requests and started at this time.
    pub(crate) fn is_registered(&self, upstream: &UpstreamId, born_at: Option<WallTime>) -> bool {
        let registration = self.registration(upstream);
        registration.is_some_and(|registration| registration.born_at == born_at)
    }

    /// Returns a registration that may get requests.
    pub(crate) fn registration(&self, upstream: &UpstreamId) -> Option<Arc<Registration>> {
        self.registry.registration(upstream)
    }
}
