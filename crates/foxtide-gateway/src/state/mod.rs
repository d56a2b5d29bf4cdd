//! The state on which an instance bases its decisions.
//!
//! One lock protects it; the lock is never held across an await.

mod availability;
mod facts;
mod fleet_view;
mod homed;
mod pick;
mod placement;
mod region_gauges;
mod regional;
mod stored;
mod throttle;

pub(crate) use availability::Unavailability;
pub(crate) use pick::{
    NoUpstream,
    Pick,
    PickRequest, //
};

use crate::journal::{
    ChangeLines,
    state_changes, //
};
use crate::options::{
    Bounds,
    GatewayOptions, //
};
use foxtide_clock::SteadyClock;
use foxtide_core::ids::{
    AvailabilityZoneId,
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
use foxtide_core::throttle::LocalThrottle;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    RequestRate,
    Share, //
};
use foxtide_core::withdrawal::Withdrawals;
use homed::HomedTraffic;
use placement::{
    Placement,
    PlacementKey, //
};
use regional::RegionalShares;
use std::collections::{
    HashMap,
    HashSet, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The used share of the permitted retries. The rest covers changes in the number of instances,
/// among which the budget is divided.
const RETRY_SHARE_USED: f64 = 0.7;

/// The share of an upstream's connections that may be idle; the rest is for requests in flight
/// and for new instances that others do not count yet.
const IDLE_CONNECTIONS_SHARE: f64 = 0.5;

/// The most idle connections to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// The state of an instance.
#[derive(Debug)]
pub(crate) struct State {
    pub(super) options: Arc<GatewayOptions>,
    bounds: Bounds,
    pub(super) clock: SteadyClock,
    started_at: MonotonicTime,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) registry: Registry,
    pub(super) members: Members,
    pub(super) health: HashMap<UpstreamId, UpstreamHealth>,
    pub(super) cold: ColdRateLimiter,
    /// The rate limits that upstreams state.
    pub(super) throttle: LocalThrottle,
    /// The upstreams that have told this instance to send them nothing.
    pub(super) withdrawals: Withdrawals,
    pub(super) placements: HashMap<PlacementKey, Placement>,
    homed: HomedTraffic,
    regional: RegionalShares,
    /// The records that this instance keeps for others.
    pub(super) registrar: Registrar,
    /// The peer that was last asked to keep this instance's record, and answered.
    registrar_address: Option<SocketAddr>,
    log: RecordLog,
    is_store_followed: bool,
    /// Until when evacuations that a restored store lacks stay in force; `None` without a
    /// recent restore.
    evacuations_kept_until: Option<MonotonicTime>,
    /// The evacuations that the restored store lacks.
    missing_evacuations: HashSet<AvailabilityZoneId>,
    /// How often the store was restored from an older copy.
    restorations: u64,
    /// The record of the configuration in force, and the last version that the store held.
    configuration: Option<Record>,
    stored_version: u64,
    /// When the store, or a peer in its place, last answered.
    store_answered_at: MonotonicTime,
    /// When the first configuration is expected.
    ready_at: MonotonicTime,
    splits: HashMap<String, WeightedRoundRobin>,
    budgets: HashMap<ServiceId, RetryBudget>,
    /// The budget of requests to other regions beyond their shares.
    overflow: RetryBudget,
}

impl State {
    /// Returns the state of an instance that has not read the store yet.
    pub(crate) fn new(options: Arc<GatewayOptions>, clock: SteadyClock) -> Self {
        let started_at = clock.now();
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
            throttle: LocalThrottle::default(),
            withdrawals: Withdrawals::default(),
            started_at,
            placements: HashMap::new(),
            homed: HomedTraffic::default(),
            regional: RegionalShares::default(),
            log: RecordLog::default(),
            is_store_followed: false,
            evacuations_kept_until: None,
            missing_evacuations: HashSet::new(),
            restorations: 0,
            configuration: None,
            stored_version: 0,
            store_answered_at: MonotonicTime::ZERO,
            ready_at: MonotonicTime::ZERO,
            splits: HashMap::new(),
            budgets: HashMap::new(),
            overflow: overflow_budget(MonotonicTime::ZERO),
        }
    }

    /// Returns the bounds that all instances keep together.
    pub(crate) fn bounds(&self) -> &Bounds {
        &self.bounds
    }

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

    /// Returns this instance's record in the store, as far as known.
    pub(crate) fn own_record(&self) -> Option<&Member> {
        self.members.get(&self.options.place.instance)
    }

    /// Tells whether this instance keeps its own record: it is a watcher, or its region has
    /// none.
    pub(crate) fn should_keep_own_record(&self) -> bool {
        let watchers = self.members.watchers(&self.options.place.region);
        watchers.is_empty() || self.is_among(&watchers)
    }

    /// Tells whether this instance watches the store for others.
    pub(crate) fn follows_for_others(&self) -> bool {
        let watchers = self.members.watchers(&self.options.place.region);
        self.is_among(&watchers)
    }

    fn is_among(&self, members: &[&Member]) -> bool {
        let own = &self.options.place.instance;
        members.iter().any(|member| member.instance == *own)
    }

    /// Tells whether another instance should keep the record of this one: a watcher does so, or
    /// the store turns this instance away and holds no record that it wrote itself.
    pub(crate) fn wants_registrar(&self, is_turned_away: bool) -> bool {
        let has_own = self.own_record().is_some_and(|own| own.registrar.is_none());
        !self.should_keep_own_record() || (is_turned_away && !has_own)
    }

    /// Returns the peer that was last asked to keep this instance's record.
    pub(crate) fn registrar_address(&self) -> Option<SocketAddr> {
        self.registrar_address
    }

    /// Sets the peer that was last asked to keep this instance's record.
    pub(crate) fn set_registrar_address(&mut self, peer: SocketAddr) {
        self.registrar_address = Some(peer);
    }

    /// Returns the records that this instance keeps for others.
    pub(crate) fn registrar_mut(&mut self) -> &mut Registrar {
        &mut self.registrar
    }

    /// Sets how long the first read of the store is expected to take.
    pub(crate) fn expect_ready_after(&mut self, time: Duration) {
        self.ready_at = self.clock.now() + time;
    }

    /// Returns the expected remaining time of the first read of the store.
    pub(crate) fn ready_after(&self) -> Duration {
        self.ready_at - self.clock.now()
    }

    /// Returns the time since the store, or a peer in its place, last answered.
    pub(crate) fn knowledge_age(&self) -> Duration {
        self.clock.now() - self.store_answered_at
    }

    /// Drops entries that were kept while the store was unavailable, and data on removed
    /// upstreams.
    pub(crate) fn expire(&mut self) {
        let now = self.clock.now();
        let changes = self.registry.expire(now);
        self.handle_registry_changes(&changes, &mut ChangeLines::default());
        self.members.expire(self.registry.phase(), now);
        self.drop_missing_evacuations(now);
        self.cold.prune(now);
        self.prune_throttle();
        let registry = &self.registry;
        self.withdrawals
            .prune(now, |upstream| registry.is_eligible(upstream));
        self.homed.advance(self.routes.as_deref(), now);
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

    /// Counts a caller's request towards the retry and overflow budgets.
    pub(crate) fn count_request(&mut self, service: &ServiceId) {
        self.budget(service).record_success();
        self.overflow.record_success();
    }

    /// Spends one retry of a service's budget; returns whether there was one.
    pub(crate) fn take_retry(&mut self, service: &ServiceId) -> bool {
        let now = self.clock.now();
        self.budget(service).try_spend(now)
    }

    /// Records the result of an attempt.
    pub(crate) fn end_attempt(
        &mut self,
        registration: &Registration,
        result: AttemptResult,
        load: Option<LoadReport>,
    ) {
        if !self.registry.is_current(registration) {
            // The upstream has restarted since, so the result does not concern it.
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
            state_changes::upstream_ejected(upstream, health.failure_share(), result);
        }
    }

    /// Returns how many idle connections this instance may keep to an upstream of a service:
    /// its share of the upstream's limit, but at least one and at most
    /// [`IDLE_CONNECTIONS_MAX`].
    pub(crate) fn idle_connections_max(&self, service: &ServiceId) -> usize {
        let routes = self.routes.as_ref();
        let terms = routes.and_then(|routes| routes.service(service));
        let allowed = terms.map_or(u32::MAX, |terms| terms.connections_max);
        let instances = self.members.all().count().max(1);
        let part = f64::from(allowed) * IDLE_CONNECTIONS_SHARE / instances as f64;
        (part as usize).clamp(1, IDLE_CONNECTIONS_MAX)
    }

    /// Returns `count` random upstreams that may get requests, or all if there are fewer.
    pub(crate) fn sample_upstreams(&self, count: usize) -> Vec<Arc<Registration>> {
        let eligible = self.registry.all_eligible();
        let sample = fastrand::choose_multiple(eligible, count).into_iter();
        sample
            .map(|upstream| Arc::clone(&upstream.registration))
            .collect()
    }

    /// Returns up to `count` upstreams other than `upstream`: half of them of the own region, if it
    /// has as many, which answer soonest.
    pub(crate) fn sample_others(
        &self,
        upstream: &Registration,
        count: usize,
    ) -> Vec<Arc<Registration>> {
        let own = &self.options.place.region;
        let others = || {
            let eligible = self.registry.all_eligible();
            eligible.filter(|other| other.registration.upstream != upstream.upstream)
        };
        let near = others().filter(|other| other.registration.region == *own);
        let mut sample = fastrand::choose_multiple(near, count / 2);
        sample.extend(fastrand::choose_multiple(others(), count - sample.len()));
        let registrations = sample.into_iter();
        registrations
            .map(|other| Arc::clone(&other.registration))
            .collect()
    }

    /// Returns the recent latency of an upstream.
    pub(crate) fn latency(&self, upstream: &UpstreamId) -> Option<Duration> {
        self.health.get(upstream)?.latency()
    }

    /// Discards an incarnation whose address another one uses now.
    pub(crate) fn discard_reused_address(&mut self, registration: &Registration) {
        let now = self.clock.now();
        let change = self.registry.discard(registration, now);
        self.handle_registry_changes(&[change], &mut ChangeLines::default());
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

    /// Tells whether the incarnation that started at `born_at` may get requests.
    pub(crate) fn is_registered(&self, upstream: &UpstreamId, born_at: Option<WallTime>) -> bool {
        let registration = self.registration(upstream);
        registration.is_some_and(|registration| registration.born_at == born_at)
    }

    /// Returns the registration of an upstream that may get requests.
    pub(crate) fn registration(&self, upstream: &UpstreamId) -> Option<Arc<Registration>> {
        self.registry.registration(upstream)
    }
}
