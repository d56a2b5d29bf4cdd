//! Reports, sums and their ages.

use super::{
    demand,
    hash, //
};
use foxtide_core::placement::demand::{
    DemandByService,
    KindHash,
    KnownDemand,
    RegionAggregate,
    RegionSums,
    ServiceHash,
    SmoothedDemand, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SERVICE: ServiceHash = ServiceHash::from_hash(7);

fn instance(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_ms(seconds * 1_000)
}

fn report(slots: f64) -> DemandByService {
    DemandByService::from([(SERVICE, demand(&[("stock", slots)]))])
}

fn known(sums: &RegionSums, now: MonotonicTime) -> Option<KnownDemand> {
    sums.known(&BTreeSet::from([hash("khomas"), hash("erongo")]), now)
}

/// Guards against the sum of half a region that is taken for all of it.
#[test]
fn verify_a_region_of_which_half_stops_reporting_becomes_unknown() {
    let mut aggregate = RegionAggregate::default();
    let mut sums = RegionSums::default();
    for second in 0..30 {
        let reporting = if second < 10 { 6 } else { 3 };
        for port in 1..=reporting {
            aggregate.report(instance(port), report(2.0), at(second));
        }
        if let Some(sum) = aggregate.sum(6, at(second)) {
            sums.merge(hash("khomas"), at(second), sum);
        }
        sums.merge(hash("erongo"), at(second), report(1.0));
        let known = known(&sums, at(second));
        // The reports of the three count for 3 s, and the last whole sum holds for 5 s.
        assert_eq!(known.is_some(), second <= 16, "at {second} s");
        // Figures are in steps of 4.4 %.
        let slots = known.map(|known| known.slots_of(SERVICE, hash("khomas")).get());
        assert!(
            slots.is_none_or(|slots| (slots / 12.0 - 1.0).abs() < 0.022),
            "{slots:?}"
        );
    }
    // Once the store has removed those that ended, the others are all of the region.
    let sum = aggregate.sum(3, at(29)).unwrap();
    assert!((sum[&SERVICE].total().get() - 6.0).abs() < 1e-9);
    let ages: Vec<Duration> = aggregate.report_ages(at(30)).map(|(_, age)| age).collect();
    assert_eq!(ages, [Duration::from_secs(1); 3]);
}

/// Guards against an older sum that arrives late and replaces a newer one.
#[test]
fn verify_newer_sums_win_and_old_ones_are_forgotten() {
    let mut sums = RegionSums::default();
    sums.merge(hash("erongo"), at(10), report(4.0));
    sums.merge(hash("erongo"), at(8), report(9.0));
    assert_eq!(known(&sums, at(10)), None);
    // A region without any demand is known nevertheless.
    sums.merge(hash("khomas"), at(9), DemandByService::new());
    let demand = known(&sums, at(10)).unwrap();
    assert!((demand.slots_of(SERVICE, hash("erongo")).get() - 4.0).abs() < 1e-9);
    assert_eq!(demand.slots_of(SERVICE, hash("khomas")).get(), 0.0);
    // A service that is missing from newer sums keeps its age.
    sums.merge(hash("erongo"), at(12), DemandByService::new());
    let ages: Vec<(u64, usize)> = sums
        .with_ages(at(12))
        .filter(|(region, ..)| *region == hash("erongo"))
        .map(|(_, age, demand)| (age.as_secs(), demand.len()))
        .collect();
    assert_eq!(ages, [(2, 1), (0, 0)]);
    assert_eq!(sums.of(hash("erongo"), at(12)), Some(report(4.0)));
    assert!(known(&sums, at(14)).is_some());
    assert_eq!(known(&sums, at(15)), None);
    sums.prune(at(30));
    assert_eq!(sums.with_ages(at(30)).count(), 0);
}

/// Guards against a mean that starts anew with each aggregator, in the middle of a wave.
#[test]
fn verify_the_mean_of_demand_outlives_its_aggregator() {
    let mut first = SmoothedDemand::default();
    let mut mean = DemandByService::new();
    for second in 0..200 {
        let slots = if second % 2 == 0 { 2.0 } else { 6.0 };
        mean = first.advance(&report(slots), None, at(second)).clone();
    }
    assert!((mean[&SERVICE].total().get() - 4.0).abs() < 0.1);
    let mut second = SmoothedDemand::default();
    let inherited = second.advance(&report(6.0), Some(mean.clone()), at(203));
    assert_eq!(*inherited, mean);
    let later = second.advance(&report(6.0), None, at(204));
    assert!((later[&SERVICE].total().get() - 4.0).abs() < 0.2);
    // One that was replaced for a while does not return to its own mean.
    let back = first.advance(&report(6.0), Some(report(9.0)), at(300));
    assert_eq!(*back, report(9.0));
}

/// Guards against messages that grow with the number of kinds, and against demand that is lost
/// where all kinds are small.
#[test]
fn verify_small_kinds_count_together() {
    let names: Vec<String> = (0..200).map(|number| format!("r-{number}")).collect();
    let kinds: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    for (count, named) in [(200, 0), (90, 32), (10, 10)] {
        let condensed = demand(&kinds[..count]).condensed();
        let others = condensed.kinds.get(&KindHash::OTHERS);
        assert_eq!(condensed.kinds.len() - usize::from(others.is_some()), named);
        assert!((condensed.total().get() - count as f64).abs() < 1e-9);
    }
}
