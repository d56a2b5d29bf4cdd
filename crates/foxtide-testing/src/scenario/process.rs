//! The decisions of one process of one instance, put together.

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
    leaves_at_us, //
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

/// How old a view of the fleet may become before it is put together anew.
const VIEW_AGE: Duration = Duration::from_millis(500);

/// The answer to a request that ran, as far as a scenario needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct KeptRun {
    /// Which request it answers.
    pub(super) operation: OperationNumber,
}

impl ReplayableAnswer for KeptRun {
    fn size(&self) -> ByteSize {
        ByteSize::from_bytes(size_of::<OperationNumber>() as u64)
    }
}

/// A peer's report and when it was made.
#[derive(Clone, Debug)]
pub(super) struct Heard {
    pub(super) region: RegionId,
    pub(super) made_at: MonotonicTime,
    pub(super) report: InstanceReport,
}

/// What a request needs of one service.
#[derive(Debug)]
pub(super) struct ServiceTools {
    pub(super) budget: RetryBudget,
    pub(super) hedge_delay: HedgeDelay,
    pub(super) balancers: BTreeMap<RegionId, Balancer>,
}

/// Everything that a process holds in memory.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) steering: Option<Steering>,
    pub(super) services: BTreeMap<ServiceId, ServiceTools>,
    pub(super) table: Table<KeptRun>,
    pub(super) membership: Membership,
    pub(super) documents: ConfigurationTable,
    pub(super) heard: BTreeMap<InstanceId, Heard>,
    /// The index up to which it has seen the store.
    pub(super) store_index: StoreIndex,
    /// When its view of the fleet was put together.
    viewed_at: MonotonicTime,
    /// Whether a report came since.
    heard_news: bool,
    /// Whether the configuration held drains at the last tick.
    had_drains: bool,
    organisation: Option<Arc<Organisation>>,
    region: RegionId,
    zone: AvailabilityZoneId,
    seed: u64,
    rule: Option<BrokenRule>,
}

impl Process {
    /// Returns a process that has just started and knows nothing.
    pub(super) fn new(
        own: Member,
        seed: u64,
        rule: Option<BrokenRule>,
        now: MonotonicTime,
    ) -> Self {
        let owner = OwnerId {
            instance: own.instance.clone(),
            process: ProcessNumber::new(seed),
        };
        Self {
            steering: None,
            services: BTreeMap::new(),
            table: Table::new(owner, TableOptions::default()),
            region: own.region.clone(),
            zone: own.availability_zone.clone(),
            membership: Membership::new(own, MembershipOptions::default(), seed, now),
            documents: ConfigurationTable::default(),
            heard: BTreeMap::new(),
            store_index: StoreIndex::ABSENT,
            viewed_at: MonotonicTime::ZERO,
            heard_news: false,
            had_drains: false,
            organisation: None,
            seed,
            rule,
        }
    }

    /// Returns the revision in force; none before the first.
    pub(super) fn revision(&self) -> Option<Revision> {
        Some(self.organisation.as_ref()?.revision)
    }

    /// Puts a document in force if it is newer. Tells whether it was.
    pub(super) fn apply(&mut self, document: &Document, now: MonotonicTime) -> bool {
        let newer = self.documents.apply(document);
        if !newer && self.rule != Some(BrokenRule::Revision) {
            return false;
        }
        let Ok(organisation) = serde_json::from_slice(&document.bytes) else {
            return false;
        };
        let organisation = Arc::new(with_broken_rule(&organisation, self.rule));
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
        let running = |member: &&Member| member.state.is_running();
        let sharing = self.membership.members().filter(running).count();
        let sharing = u32::try_from(sharing).unwrap_or(u32::MAX);
        for service in &organisation.services {
            let known = self.services.entry(service.service.clone());
            let tools = known.or_insert_with(|| ServiceTools {
                budget: RetryBudget::new(RetryBudgetOptions::default(), now),
                hedge_delay: HedgeDelay::default(),
                balancers: BTreeMap::new(),
            });
            for region in &organisation.regions {
                let here = |upstream: &&Upstream| upstream.region == region.region;
                let here: Vec<Upstream> = service.upstreams.iter().filter(here).cloned().collect();
                let options = BalancerOptions {
                    availability_zone: Some(self.zone.clone()),
                    ..Default::default()
                };
                let balancer = tools.balancers.entry(region.region.clone());
                let balancer = balancer.or_insert_with(|| Balancer::new(options, self.seed));
                balancer.configure(&here, sharing, now);
            }
        }
    }

    /// Moves all decisions on to `now`.
    pub(super) fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        let Some(organisation) = self.organisation.clone() else {
            return;
        };
        let view = self.new_view(now);
        self.leave_drained(&organisation, now, wall);
        let Some(steering) = &mut self.steering else {
            return;
        };
        for (service, tools) in &mut self.services {
            for (region, balancer) in &mut tools.balancers {
                let healthy = balancer.healthy_share(now);
                steering.set_health(service, region, Some(healthy));
            }
        }
        if let Some(view) = view {
            steering.observe(&view, now);
        }
        steering.tick(now, wall);
    }

    fn leave_drained(&mut self, organisation: &Organisation, now: MonotonicTime, wall: WallTime) {
        if organisation.drains.is_empty() && !self.had_drains {
            return;
        }
        self.had_drains = !organisation.drains.is_empty();
        for service in &organisation.services {
            let Some(tools) = self.services.get_mut(&service.service) else {
                continue;
            };
            for upstream in &service.upstreams {
                let leaves_at = leaves_at_us(organisation, &service.service, upstream);
                let balancer = tools.balancers.get_mut(&upstream.region);
                let left = leaves_at.is_some_and(|at| at <= wall);
                match balancer {
                    Some(balancer) if left => balancer.leave(&upstream.upstream, now),
                    Some(balancer) => balancer.rejoin(&upstream.upstream, now),
                    None => {}
                }
            }
        }
    }

    /// Puts a view of the fleet together where there is news, or the last view
    /// is old.
    fn new_view(&mut self, now: MonotonicTime) -> Option<FleetView> {
        let aged = now - self.viewed_at >= VIEW_AGE;
        if !aged && !self.heard_news {
            return None;
        }
        self.viewed_at = now;
        self.heard_news = false;
        let reports = self.heard.values().map(|heard| ReceivedReport {
            origin: &heard.region,
            made_at: heard.made_at,
            report: &heard.report,
        });
        let view = FleetView::from_reports(reports, ViewOptions::default(), now);
        Some(view)
    }

    /// Makes the report to be sent to all peers.
    pub(super) fn report(&mut self, now: MonotonicTime) -> Option<Heard> {
        let report = self.steering.as_mut()?.report(now);
        let heard = Heard {
            region: self.region.clone(),
            made_at: now,
            report,
        };
        let own = self.membership.own().instance.clone();
        self.heard.insert(own, heard.clone());
        Some(heard)
    }

    /// Takes a peer's report, unless a newer one is known.
    pub(super) fn hear(&mut self, from: InstanceId, heard: Heard) {
        let known = self.heard.get(&from);
        if known.is_none_or(|known| known.made_at <= heard.made_at) {
            self.heard.insert(from, heard);
            self.heard_news = true;
        }
    }

    /// Returns the balancer of a service in a region.
    pub(super) fn balancer(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
    ) -> Option<&mut Balancer> {
        self.services.get_mut(service)?.balancers.get_mut(region)
    }
}
