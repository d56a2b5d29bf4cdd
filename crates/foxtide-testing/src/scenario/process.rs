//! Runs the decisions of an instance's process: steering, balancing, membership and
//! idempotency.

use super::broken_rules::with_broken_rule;
use super::operation::OperationNumber;
use super::options::BrokenRule;
use foxtide_core::choice::{
    Balancer,
    BalancerOptions, //
};
use foxtide_core::dissemination::{
    ConfigurationTable,
    Document, //
};
use foxtide_core::idempotency::{
    OwnerId,
    ProcessNumber,
    ReplayableAnswer,
    Table,
    TableOptions, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId,
    ServiceId, //
};
use foxtide_core::membership::{
    Member,
    Membership,
    MembershipOptions, //
};
use foxtide_core::organisation::{
    Organisation,
    Upstream, //
};
use foxtide_core::retry::{
    HedgeDelay,
    RetryBudget,
    RetryBudgetOptions, //
};
use foxtide_core::steering::{
    FleetView,
    InstanceReport,
    ReceivedReport,
    Steering,
    SteeringOptions,
    ViewOptions,
    upstream_leaves_at, //
};
use foxtide_core::store::StoreIndex;
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    ByteSize,
    Revision, //
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Age at which a view of the fleet is rebuilt even without new reports.
const VIEW_AGE_MAX: Duration = Duration::from_millis(500);

/// The stored answer of a request that ran, reduced to the request's number.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoredAnswer {
    pub(super) operation: OperationNumber,
}

impl ReplayableAnswer for StoredAnswer {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(size_of::<OperationNumber>() as u64)
    }
}

/// An instance's report with its region and the time at which it was made.
#[derive(Clone, Debug)]
pub(super) struct PeerReport {
    pub(super) region: RegionId,
    pub(super) made_at: MonotonicTime,
    pub(super) report: InstanceReport,
}

/// A process's state of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) retry_budget: RetryBudget,
    pub(super) hedge_delay: HedgeDelay,
    pub(super) balancers: BTreeMap<RegionId, Balancer>,
}

/// The state of a process, which is lost when the process ends.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) steering: Option<Steering>,
    pub(super) services: BTreeMap<ServiceId, ServiceState>,
    pub(super) key_table: Table<StoredAnswer>,
    pub(super) membership: Membership,
    pub(super) documents: ConfigurationTable,
    pub(super) reports: BTreeMap<InstanceId, PeerReport>,
    /// The store index of the last read.
    pub(super) store_index: StoreIndex,
    view_built_at: MonotonicTime,
    /// Whether a report has arrived since the view was built.
    has_new_reports: bool,
    /// Whether the configuration contained drains at the last tick.
    had_drains: bool,
    organisation: Option<Arc<Organisation>>,
    region: RegionId,
    zone: AvailabilityZoneId,
    seed: u64,
    broken_rule: Option<BrokenRule>,
}

impl Process {
    /// Returns a process without configuration and peers.
    pub(super) fn new(
        member: Member,
        seed: u64,
        broken_rule: Option<BrokenRule>,
        now: MonotonicTime,
    ) -> Self {
        let owner = OwnerId {
            instance: member.instance.clone(),
            process: ProcessNumber::new(seed),
        };
        Self {
            steering: None,
            services: BTreeMap::new(),
            key_table: Table::new(owner, TableOptions::default()),
            region: member.region.clone(),
            zone: member.availability_zone.clone(),
            membership: Membership::new(member, MembershipOptions::default(), seed, now),
            documents: ConfigurationTable::default(),
            reports: BTreeMap::new(),
            store_index: StoreIndex::ABSENT,
            view_built_at: MonotonicTime::ZERO,
            has_new_reports: false,
            had_drains: false,
            organisation: None,
            seed,
            broken_rule,
        }
    }

    /// Returns the revision in force, or `None` before the first document.
    pub(super) fn revision(&self) -> Option<Revision> {
        Some(self.organisation.as_ref()?.revision)
    }

    /// Applies a document if it is newer than the current one, and returns whether it was
    /// applied.
    pub(super) fn apply(&mut self, document: &Document, now: MonotonicTime) -> bool {
        let is_newer = self.documents.apply(document);
        if !is_newer && self.broken_rule != Some(BrokenRule::Revision) {
            return false;
        }
        let Ok(organisation) = serde_json::from_slice(&document.bytes) else {
            return false;
        };
        let organisation = Arc::new(with_broken_rule(&organisation, self.broken_rule));
        match &mut self.steering {
            Some(steering) => steering.configure(organisation.clone(), now),
            None => {
                let options = SteeringOptions::default();
                let region = self.region.clone();
                self.steering = Some(Steering::new(organisation.clone(), region, options));
            }
        }
        self.configure_balancers(&organisation, now);
        self.organisation = Some(organisation);
        self.membership
            .set_configuration_hash(self.documents.hash());
        true
    }

    fn configure_balancers(&mut self, organisation: &Organisation, now: MonotonicTime) {
        let is_running = |member: &&Member| member.state.is_running();
        let sharers = self.membership.members().filter(is_running).count();
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        for service in &organisation.services {
            let entry = self.services.entry(service.service.clone());
            let state = entry.or_insert_with(|| ServiceState {
                retry_budget: RetryBudget::new(RetryBudgetOptions::default(), now),
                hedge_delay: HedgeDelay::default(),
                balancers: BTreeMap::new(),
            });
            for region in &organisation.regions {
                let in_region = |upstream: &&Upstream| upstream.region == region.region;
                let upstreams = service.upstreams.iter().filter(in_region);
                let upstreams: Vec<Upstream> = upstreams.cloned().collect();
                let options = BalancerOptions {
                    availability_zone: Some(self.zone.clone()),
                    ..Default::default()
                };
                let balancer = state.balancers.entry(region.region.clone());
                let balancer = balancer.or_insert_with(|| Balancer::new(options, self.seed));
                balancer.configure(&upstreams, sharers, now);
            }
        }
    }

    /// Advances all decisions to `now`.
    pub(super) fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        let Some(organisation) = self.organisation.clone() else {
            return;
        };
        let view = self.build_view(now);
        self.apply_drains(&organisation, now, wall);
        let Some(steering) = &mut self.steering else {
            return;
        };
        for (service, state) in &mut self.services {
            for (region, balancer) in &mut state.balancers {
                let healthy = balancer.healthy_share(now);
                steering.set_health(service, region, Some(healthy));
            }
        }
        if let Some(view) = view {
            steering.observe(&view, now);
        }
        steering.tick(now, wall);
    }

    fn apply_drains(&mut self, organisation: &Organisation, now: MonotonicTime, wall: WallTime) {
        if organisation.drains.is_empty() && !self.had_drains {
            return;
        }
        self.had_drains = !organisation.drains.is_empty();
        for service in &organisation.services {
            let Some(state) = self.services.get_mut(&service.service) else {
                continue;
            };
            for upstream in &service.upstreams {
                let leaves_at = upstream_leaves_at(organisation, &service.service, upstream);
                let balancer = state.balancers.get_mut(&upstream.region);
                let has_left = leaves_at.is_some_and(|at| at <= wall);
                match balancer {
                    Some(balancer) if has_left => balancer.leave(&upstream.upstream, now),
                    Some(balancer) => balancer.rejoin(&upstream.upstream, now),
                    None => {}
                }
            }
        }
    }

    /// Rebuilds the view of the fleet if reports have arrived or the last view is too
    /// old.
    fn build_view(&mut self, now: MonotonicTime) -> Option<FleetView> {
        let is_old = now - self.view_built_at >= VIEW_AGE_MAX;
        if !is_old && !self.has_new_reports {
            return None;
        }
        self.view_built_at = now;
        self.has_new_reports = false;
        let reports = self.reports.values().map(|report| ReceivedReport {
            origin: &report.region,
            made_at: report.made_at,
            report: &report.report,
        });
        let view = FleetView::from_reports(reports, ViewOptions::default(), now);
        Some(view)
    }

    /// Returns the report to send to all peers.
    pub(super) fn report(&mut self, now: MonotonicTime) -> Option<PeerReport> {
        let report = self.steering.as_mut()?.report(now);
        let report = PeerReport {
            region: self.region.clone(),
            made_at: now,
            report,
        };
        let instance = self.membership.own().instance.clone();
        self.reports.insert(instance, report.clone());
        Some(report)
    }

    /// Stores a peer's report unless a newer one is known.
    pub(super) fn receive_report(&mut self, from: InstanceId, report: PeerReport) {
        let known = self.reports.get(&from);
        if known.is_none_or(|known| known.made_at <= report.made_at) {
            self.reports.insert(from, report);
            self.has_new_reports = true;
        }
    }

    pub(super) fn balancer(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
    ) -> Option<&mut Balancer> {
        self.services.get_mut(service)?.balancers.get_mut(region)
    }
}
