//! Tests configuration documents, fetches and load aggregation without a network.

use foxtide_core::dissemination::{
    ClockReading,
    ConfigurationTable,
    Document,
    FetchQueue,
    LoadAggregator,
    LoadMessage,
    LoadOptions, //
};
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::limits::{
    Claim,
    LimitUse, //
};
use foxtide_core::membership::{
    Announcement,
    Incarnation,
    Member,
    MemberState,
    MemberView, //
};
use foxtide_core::steering::{
    FleetView,
    InstanceReport,
    ServiceReport, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    RequestRate,
    Revision,
    Share, //
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);

fn organisation() -> OrganisationId {
    "hamutenya".parse().unwrap()
}

fn document(revision: u64) -> Document {
    Document {
        organisation: organisation(),
        revision: Revision::new(revision),
        bytes: revision.to_le_bytes().into(),
    }
}

proptest! {
    #[test]
    fn verify_tables_converge_in_any_order(
        mut revisions in prop::collection::vec(1u64..50, 1..40),
    ) {
        let newest = *revisions.iter().max().unwrap();
        let mut tables = [ConfigurationTable::default(), ConfigurationTable::default()];
        for table in &mut tables {
            let mut newest_applied = Revision::ZERO;
            for revision in &revisions {
                let applied = table.apply(&document(*revision));
                prop_assert_eq!(applied, Revision::new(*revision) > newest_applied);
                newest_applied = newest_applied.max(Revision::new(*revision));
            }
            revisions.reverse();
        }
        prop_assert_eq!(tables[0].get(&organisation()), Some(&document(newest)));
        prop_assert_eq!(tables[0].hash(), tables[1].hash());
    }
}

fn announcement(revision: u64) -> Announcement {
    document(revision).announcement()
}

fn source(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn verify_a_failed_fetch_goes_to_another_source() {
    let mut fetches = FetchQueue::default();
    fetches.add_source(&announcement(3), source(1));
    fetches.add_source(&announcement(3), source(2));
    let now = MonotonicTime::ZERO;
    let first = fetches.start_due(now);
    assert_eq!(first.len(), 1);
    assert!(
        fetches.start_due(now).is_empty(),
        "at most one fetch in flight"
    );
    fetches.mark_failed(&first[0], now);
    let later = now + Duration::from_secs(1);
    let second = fetches.start_due(later);
    assert_ne!(second[0].from, first[0].from);
    fetches.mark_held(&announcement(3));
    assert!(fetches.is_empty());
}

#[test]
fn verify_a_newer_revision_replaces_the_one_that_is_fetched() {
    let mut fetches = FetchQueue::default();
    fetches.add_source(&announcement(3), source(1));
    let now = MonotonicTime::ZERO;
    let old = fetches.start_due(now);
    fetches.add_source(&announcement(4), source(2));
    fetches.add_source(&announcement(2), source(3));
    let new = fetches.start_due(now);
    assert_eq!(new[0].announcement, announcement(4));
    // Results of the superseded fetch have no effect.
    fetches.mark_held(&old[0].announcement);
    fetches.mark_failed(&old[0], now);
    assert!(!fetches.is_empty());
    fetches.mark_held(&announcement(4));
    assert!(fetches.is_empty());
}

#[test]
fn verify_a_fetch_without_working_sources_is_dropped() {
    let mut fetches = FetchQueue::default();
    fetches.add_source(&announcement(3), source(1));
    let mut now = MonotonicTime::ZERO;
    for _ in 0..100 {
        for fetch in fetches.start_due(now) {
            fetches.mark_failed(&fetch, now);
        }
        now = now + Duration::from_secs(1);
    }
    assert!(fetches.is_empty());
}

/// Aggregators whose messages arrive without delay.
struct LoadFleet {
    aggregators: BTreeMap<SocketAddr, LoadAggregator>,
    members: Vec<Member>,
    now: WallTime,
    version: u64,
    envelopes: usize,
}

impl LoadFleet {
    fn new(instances: usize, regions: usize) -> Self {
        let members: Vec<_> = (0..instances).map(|it| member(it, regions)).collect();
        let aggregators = members.iter().map(|member| {
            let options = LoadOptions::default();
            let aggregator = LoadAggregator::new(member.clone(), options);
            (member.peer_address, aggregator)
        });
        Self {
            aggregators: aggregators.collect(),
            members,
            now: WallTime::from_ms(1_000_000),
            version: 0,
            envelopes: 0,
        }
    }

    fn kill(&mut self, instance: usize) {
        self.members[instance].state = MemberState::Dead;
        self.aggregators
            .remove(&self.members[instance].peer_address);
        self.version += 1;
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let mut envelopes = Vec::new();
        for (address, aggregator) in &mut self.aggregators {
            aggregator.publish(organisation(), report(), self.now);
            aggregator.observe(self.members.iter(), self.version, self.now);
            let own = aggregator.tick(self.now).into_iter();
            envelopes.extend(own.map(|send| (*address, send)));
        }
        while let Some((from, send)) = envelopes.pop() {
            self.envelopes += 1;
            let sender = self.members.iter().find(|it| it.peer_address == from);
            let sender = sender.unwrap().instance.clone();
            if let Some(receiver) = self.aggregators.get_mut(&send.to) {
                let next = receiver.receive(&sender, send.message, self.now);
                envelopes.extend(next.into_iter().map(|next| (send.to, next)));
            }
        }
    }

    fn view(&self, instance: usize) -> FleetView {
        let aggregator = &self.aggregators[&self.members[instance].peer_address];
        let monotonic = MonotonicTime::from_ms(100_000);
        let members = self.members.iter().map(|member| MemberView {
            member,
            changed_at: monotonic,
        });
        let wall = self.now;
        aggregator.fleet_view(&organisation(), members, ClockReading { monotonic, wall })
    }

    /// Returns the claimed rate over all regions in the view of `instance`.
    fn claimed_rps(&self, instance: usize) -> f64 {
        let view = self.view(instance);
        let regions = view.regions.values();
        let limits = regions.flat_map(|region| region.limits.values());
        limits.map(|limit| limit.claim.planned_rps.get()).sum()
    }

    /// Returns the number of sharers of region limits in the view of `instance`.
    fn sharers(&self, instance: usize) -> u32 {
        let view = self.view(instance);
        let regions = view.regions.values();
        let limits = regions.flat_map(|region| region.limits.values());
        limits.map(|limit| limit.region_sharers).sum()
    }
}

fn member(instance: usize, regions: usize) -> Member {
    let region = format!("region-{}", instance % regions);
    Member {
        instance: format!("i{instance}").parse().unwrap(),
        availability_zone: format!("{region}-a").parse().unwrap(),
        region: region.parse().unwrap(),
        peer_address: source(10_000 + instance as u16),
        caller_address: source(80),
        process: ProcessNumber::new(1),
        incarnation: Incarnation::new(1),
        state: MemberState::Alive,
    }
}

fn report() -> InstanceReport {
    let service: ServiceId = "viewer".parse().unwrap();
    let region: RegionId = "region-0".parse().unwrap();
    let service_report = ServiceReport {
        demand_rps: RequestRate::new(10.0).unwrap(),
        healthy_share: Some(Share::ONE),
        row: [(region.clone(), Share::ONE)].into(),
    };
    let claim = Claim {
        planned_rps: RequestRate::new(10.0).unwrap(),
        spilled_rps: RequestRate::ZERO,
    };
    let limit = LimitUse {
        claim,
        region_sharers: 1,
        link_sharers: 1,
    };
    InstanceReport {
        services: [(service, service_report)].into(),
        limits: [(region, limit)].into(),
        ..InstanceReport::default()
    }
}

#[test]
fn verify_every_instance_gets_the_fleet_sum() {
    let mut fleet = LoadFleet::new(100, 3);
    fleet.run_for(Duration::from_secs(4));
    for instance in 0..100 {
        let view = fleet.view(instance);
        let live: u32 = view.regions.values().map(|it| it.live_instances).sum();
        assert_eq!(live, 100, "view of i{instance}");
        assert_eq!(fleet.claimed_rps(instance), 1_000.0);
    }
}

#[test]
fn verify_sums_stay_below_the_age_limit() {
    let mut fleet = LoadFleet::new(100, 3);
    fleet.run_for(Duration::from_secs(4));
    let options = LoadOptions::default();
    for _ in 0..100 {
        fleet.run_for(STEP);
        for region in fleet.view(50).regions.values() {
            let age = MonotonicTime::from_ms(100_000) - region.oldest_at;
            assert!(age <= options.view.view_age_max, "{age:?}");
        }
    }
}

#[test]
fn verify_claims_of_dead_instances_are_held() {
    let mut fleet = LoadFleet::new(60, 3);
    fleet.run_for(Duration::from_secs(4));
    // Kills roots and inner nodes of the trees.
    for dead in [0..6, 6..12, 12..18] {
        let before_rps = 10.0 * fleet.aggregators.len() as f64;
        dead.for_each(|instance| fleet.kill(instance));
        let hold = LoadOptions::default().view.claim_hold;
        let end = fleet.now + hold.saturating_sub(Duration::from_secs(3));
        while fleet.now < end {
            fleet.run_for(STEP);
            let claimed_rps = fleet.claimed_rps(59);
            assert!(claimed_rps >= before_rps, "{claimed_rps}");
            let sharers = fleet.sharers(59);
            assert!(f64::from(sharers) * 10.0 <= before_rps, "{sharers}");
        }
        fleet.run_for(hold);
    }
}

#[test]
fn verify_claims_counted_twice_expire() {
    let mut fleet = LoadFleet::new(60, 3);
    fleet.run_for(Duration::from_secs(4));
    for instance in 0..6 {
        fleet.kill(instance);
    }
    fleet.run_for(LoadOptions::default().view.claim_hold + Duration::from_secs(5));
    assert_eq!(fleet.claimed_rps(59), 540.0);
}

#[test]
fn verify_a_record_from_a_fast_clock_is_rejected() {
    let mut fleet = LoadFleet::new(4, 1);
    fleet.run_for(Duration::from_secs(3));
    let aggregator = fleet.aggregators.values_mut().next().unwrap();
    let mut record = aggregator.records().next().unwrap().clone();
    record.summed_at = fleet.now + Duration::from_secs(3_600);
    record.sum.live_instances = 99;
    let table = LoadMessage::Table(vec![record]);
    let sender = "i1".parse().unwrap();
    aggregator.receive(&sender, table, fleet.now);
    assert!(aggregator.records().all(|it| it.sum.live_instances == 4));
}

#[test]
fn verify_the_interval_grows_to_keep_the_budget() {
    let options = LoadOptions::default();
    assert_eq!(options.interval(100), options.interval_min);
    assert!(options.interval(10_000) > options.interval_min);
    assert_eq!(options.interval(usize::MAX), options.interval_max);
    for table_bytes in [500, 1_000, 5_000, 10_000] {
        let children = options.fan_out as f64;
        let sent = children * table_bytes as f64 / options.interval(table_bytes).as_secs_f64();
        assert!(sent <= f64::from(options.budget_bytes_per_s));
    }
}

#[test]
fn verify_the_messages_of_an_instance_do_not_grow_with_the_fleet() {
    let envelopes = |instances| {
        let mut fleet = LoadFleet::new(instances, 3);
        fleet.run_for(Duration::from_secs(10));
        fleet.envelopes as f64 / instances as f64
    };
    let (few, many) = (envelopes(30), envelopes(240));
    assert!(many <= few * 1.2, "{few} each of 30, {many} each of 240");
}
