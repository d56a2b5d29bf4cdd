//! Traffic state of a service: its regions and retries.

use super::metrics::ServiceMetrics;
use super::options::TrafficOptions;
use super::region::RegionTraffic;
use arc_swap::ArcSwap;
use foxtide_core::choice::Sharing;
use foxtide_core::explain::ViewId;
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Contract,
    Organisation,
    Priority,
    Service,
    Upstream, //
};
use foxtide_core::retry::{
    AttemptId,
    AttemptResult,
    Attempts,
    HedgeDelay,
    RequestTerms,
    RetryBudget,
    Step, //
};
use foxtide_core::steering::upstream_leaves_at;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

type Regions = HashMap<RegionId, Arc<RegionTraffic>>;

/// Traffic state of a service.
#[derive(Debug)]
pub(crate) struct ServiceTraffic {
    service: ServiceId,
    metrics: ServiceMetrics,
    regions: ArcSwap<Regions>,
    retries: Mutex<Retries>,
}

#[derive(Debug)]
struct Retries {
    budget: RetryBudget,
    hedge_delay: HedgeDelay,
    view: ViewId,
}

impl ServiceTraffic {
    pub(super) fn new(
        organisation: &OrganisationId,
        service: ServiceId,
        options: &TrafficOptions,
        now: MonotonicTime,
    ) -> Self {
        Self {
            metrics: ServiceMetrics::new(organisation, &service),
            service,
            regions: ArcSwap::default(),
            retries: Mutex::new(Retries {
                budget: RetryBudget::new(options.retry_budget.clone(), now),
                hedge_delay: HedgeDelay::default(),
                view: ViewId::default(),
            }),
        }
    }

    pub(crate) fn id(&self) -> &ServiceId {
        &self.service
    }

    pub(crate) fn metrics(&self) -> &ServiceMetrics {
        &self.metrics
    }

    pub(crate) fn region(&self, region: &RegionId) -> Option<Arc<RegionTraffic>> {
        self.regions.load().get(region).cloned()
    }

    pub(super) fn regions(&self) -> Arc<Regions> {
        self.regions.load_full()
    }

    /// Applies the service's upstreams. Slots are shared within a region, so
    /// the rank of this instance applies only to its own region.
    pub(super) fn configure(
        &self,
        service: &Service,
        options: &TrafficOptions,
        sharing: Sharing,
        now: MonotonicTime,
    ) {
        let known = self.regions.load_full();
        let mut regions = Regions::new();
        for (region, upstreams) in by_region(&service.upstreams) {
            let traffic = known
                .get(&region)
                .cloned()
                .unwrap_or_else(|| RegionTraffic::new(options.balancer.clone(), options.seed));
            let rank = sharing.rank.filter(|_| region == options.origin);
            traffic.configure(&upstreams, Sharing { rank, ..sharing }, now);
            regions.insert(region, traffic);
        }
        self.regions.store(Arc::new(regions));
    }

    /// Removes upstreams whose drain has started and restores those whose drain
    /// was cancelled.
    pub(super) fn apply_drains(
        &self,
        organisation: &Organisation,
        now: MonotonicTime,
        wall: WallTime,
    ) {
        let Some(service) = organisation.service(&self.service) else {
            return;
        };
        let regions = self.regions.load();
        for upstream in &service.upstreams {
            let Some(region) = regions.get(&upstream.region) else {
                continue;
            };
            let drains_at = upstream_leaves_at(organisation, &self.service, upstream);
            let drained = drains_at.is_some_and(|at| at <= wall);
            region.with_balancer(|balancer| match drained {
                true => balancer.leave(&upstream.upstream, now),
                false => balancer.rejoin(&upstream.upstream, now),
            });
        }
    }

    /// Returns the terms that apply to all attempts of a request.
    pub(crate) fn terms(
        &self,
        contract: &Contract,
        idempotent: bool,
        deadline: MonotonicTime,
    ) -> RequestTerms {
        let hedged = idempotent && contract.priority == Priority::Latency;
        RequestTerms {
            idempotent,
            deadline,
            hedge_delay: hedged.then(|| self.retries.lock().hedge_delay.get()),
        }
    }

    /// Records how an attempt ended and decides on the next step.
    pub(crate) fn ended(
        &self,
        attempts: &mut Attempts,
        id: AttemptId,
        result: AttemptResult,
        now: MonotonicTime,
    ) -> Step {
        attempts.end(id, result, &mut self.retries.lock().budget, now)
    }

    /// Decides whether to send a second attempt in parallel.
    pub(crate) fn hedge(&self, attempts: &mut Attempts, now: MonotonicTime) -> Step {
        attempts.hedge(&mut self.retries.lock().budget, now)
    }

    /// Records the latency of an answer for the hedge delay.
    pub(crate) fn record_latency(&self, latency: Duration) {
        self.retries.lock().hedge_delay.record(latency);
    }

    /// Returns the view on which decisions are now based, for explanations.
    pub(crate) fn view(&self) -> ViewId {
        self.retries.lock().view
    }

    /// Sets the view on which decisions are based.
    pub(super) fn set_view(&self, view: ViewId) {
        self.retries.lock().view = view;
    }
}

fn by_region(upstreams: &[Upstream]) -> HashMap<RegionId, Vec<Upstream>> {
    let mut by_region: HashMap<RegionId, Vec<Upstream>> = HashMap::new();
    for upstream in upstreams {
        let region = by_region.entry(upstream.region.clone()).or_default();
        region.push(upstream.clone());
    }
    by_region
}
