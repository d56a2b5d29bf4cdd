//! Tests the ranking of upstreams, region shares, the cold rate limit and health.

use foxtide_core::ids::{
    InstanceId,
    RegionId,
    UpstreamId, //
};
use foxtide_core::placement::{
    AttemptResult,
    Candidate,
    ColdRateLimit,
    ColdRateLimiter,
    Demand,
    HomedLoad,
    ObjectKey,
    UpstreamHealth,
    first_choices,
    rank,
    region_shares, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|number| format!("i-{number}").parse().unwrap())
        .collect()
}

fn candidates(upstreams: &[UpstreamId]) -> Vec<Candidate> {
    upstreams
        .iter()
        .map(|upstream| Candidate::new(upstream, 4.0))
        .collect()
}

fn first(key: u64, upstreams: &[UpstreamId]) -> &UpstreamId {
    let key = ObjectKey::new(&key.to_be_bytes());
    &upstreams[rank(key, &candidates(upstreams))[0]]
}

#[test]
fn verify_only_the_objects_of_a_leaving_upstream_move() {
    let all = upstreams(12);
    let rest: Vec<UpstreamId> = all[1..].to_vec();
    for key in 0..1_000 {
        let before = first(key, &all);
        if *before != all[0] {
            assert_eq!(first(key, &rest), before, "object {key}");
        }
    }
}

#[test]
fn verify_objects_follow_the_weights() {
    let names = upstreams(2);
    let weighted = [
        Candidate::new(&names[0], 3.0),
        Candidate::new(&names[1], 1.0),
    ];
    let to_first = (0..10_000_u64)
        .filter(|key| rank(ObjectKey::new(&key.to_be_bytes()), &weighted)[0] == 0)
        .count();
    assert!((7_300..7_700).contains(&to_first), "{to_first} of 10,000");
}

fn regions(slots: [u32; 3]) -> BTreeMap<RegionId, u32> {
    ["khomas", "erongo", "oshana"]
        .into_iter()
        .zip(slots)
        .map(|(region, slots)| (region.parse().unwrap(), slots))
        .collect()
}

#[test]
fn verify_requests_beyond_a_regions_capacity_go_to_regions_with_spare_capacity() {
    let slots = regions([24, 8, 16]);
    let shares = region_shares(&"erongo".parse().unwrap(), &slots, &Demand::unrestricted(3));
    let of = |region: &str| shares[&region.parse::<RegionId>().unwrap()];
    assert!((of("erongo") - 0.5).abs() < 1e-9);
    assert!((of("khomas") - 0.5).abs() < 1e-9);
    assert!(of("oshana").abs() < 1e-9);
    let shares = region_shares(&"khomas".parse().unwrap(), &slots, &Demand::unrestricted(3));
    assert!((shares[&"khomas".parse::<RegionId>().unwrap()] - 1.0).abs() < 1e-9);
}

#[test]
fn verify_a_region_without_upstreams_is_served_by_the_others() {
    let mut slots = regions([24, 0, 24]);
    slots.remove(&"erongo".parse::<RegionId>().unwrap());
    let shares = region_shares(&"erongo".parse().unwrap(), &slots, &Demand::unrestricted(3));
    let total: f64 = shares.values().sum();
    assert!((total - 1.0).abs() < 1e-9, "{shares:?}");
}

/// Guards against overload of a region with few slots in which an organisation is
/// homed.
#[test]
fn verify_regions_are_loaded_alike_despite_homed_requests() {
    let slots = regions([46, 10, 38]);
    let erongo: RegionId = "erongo".parse().unwrap();
    let mut homed = HomedLoad::default();
    homed.add(vec![erongo.clone()], 1.0 / 12.0);
    let demand = Demand { origins: 3, homed };
    let unhomed_of_origin = 94.0 * (11.0 / 12.0) / 3.0;
    let mut load = BTreeMap::from([(erongo.clone(), 94.0 / 12.0)]);
    for origin in slots.keys() {
        let shares = region_shares(origin, &slots, &demand);
        let total: f64 = shares.values().sum();
        assert!((total - 1.0).abs() < 1e-9, "{shares:?}");
        for (region, share) in shares {
            *load.entry(region).or_default() += share * unhomed_of_origin;
        }
    }
    for (region, load) in load {
        let utilisation = load / f64::from(slots[&region]);
        assert!((utilisation - 1.0).abs() < 1e-9, "{region}: {utilisation}");
    }
    // Without the homed load the region would be overloaded.
    let share_ignoring_homes = region_shares(&erongo, &slots, &Demand::unrestricted(3))[&erongo];
    assert!((94.0 / 12.0 + share_ignoring_homes * unhomed_of_origin) / 10.0 > 1.6);
}

#[test]
fn verify_homed_load_moves_by_steps_and_ends_at_its_target() {
    let home: RegionId = "erongo".parse().unwrap();
    let mut target = HomedLoad::default();
    target.add(vec![home.clone()], 0.1);
    let mut load = HomedLoad::default();
    load.step_towards(&target, 0.04);
    let mut after_one = HomedLoad::default();
    after_one.add(vec![home], 0.04);
    assert_eq!(load, after_one);
    load.step_towards(&target, 0.04);
    load.step_towards(&target, 0.04);
    assert_eq!(load, target);
    for _ in 0..3 {
        load.step_towards(&HomedLoad::default(), 0.04);
    }
    assert_eq!(load, HomedLoad::default());
}

const LIMIT: ColdRateLimit = ColdRateLimit {
    rate_rps: 3.1,
    overshoot: 1.5,
    slack_rps: 5.0,
};

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|number| format!("edge-{number}").parse().unwrap())
        .collect()
}

/// Sends as many requests as each instance permits to one cold upstream and returns the
/// maximum in any second.
fn max_per_second(views: &[(InstanceId, Vec<InstanceId>)]) -> usize {
    let upstream = "i-1".parse().unwrap();
    let mut limiters = vec![ColdRateLimiter::default(); views.len()];
    let mut sent_ms = Vec::new();
    for ms in 0..5_000 {
        let now = MonotonicTime::from_ms(ms);
        for (limiter, (own, view)) in limiters.iter_mut().zip(views) {
            if limiter.try_take(&upstream, &LIMIT, own, view, now) {
                sent_ms.push(ms);
            }
        }
    }
    let in_second = |from: u64| {
        sent_ms
            .iter()
            .filter(move |&&ms| (from..from + 1_000).contains(&ms))
    };
    (0..4_000)
        .map(|from| in_second(from).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn verify_the_cold_rate_holds_over_all_instances() {
    for count in [1, 3, 10, 71] {
        let all = instances(count);
        let views: Vec<_> = all.iter().map(|own| (own.clone(), all.clone())).collect();
        let most = max_per_second(&views);
        assert!((1..=9).contains(&most), "{count} instances sent {most}");
    }
}

#[test]
fn verify_the_cold_rate_holds_while_instances_see_different_members() {
    let all = instances(10);
    let (some, others) = all.split_at(5);
    let views: Vec<_> = all
        .iter()
        .map(|own| {
            let view = if some.contains(own) { some } else { others };
            (own.clone(), view.to_vec())
        })
        .collect();
    let most = max_per_second(&views);
    assert!(most <= 9, "{most} in a second");
}

#[test]
fn verify_failures_in_a_row_eject_for_a_growing_time() {
    let mut health = UpstreamHealth::default();
    let now = MonotonicTime::from_ms(1_000);
    for _ in 0..3 {
        assert!(!health.is_ejected(now));
        health.begin();
        health.end(AttemptResult::Faulty, now);
    }
    assert!(health.is_ejected(now));
    let later = now + Duration::from_millis(600);
    assert!(!health.is_ejected(later));
    health.begin();
    health.end(AttemptResult::Faulty, later);
    assert!(health.is_ejected(later + Duration::from_millis(900)));
}

#[test]
fn verify_a_few_failures_among_many_answers_eject_nothing() {
    let mut health = UpstreamHealth::default();
    let now = MonotonicTime::from_ms(1_000);
    let latency = Duration::from_millis(30);
    for _ in 0..50 {
        health.begin();
        health.end(AttemptResult::Faulty, now);
        for _ in 0..4 {
            health.begin();
            health.end(AttemptResult::Answered { latency }, now);
        }
    }
    assert!(!health.is_ejected(now));
    assert_eq!(health.in_flight(), 0);
}

#[test]
fn verify_the_first_choices_are_those_of_the_whole_order() {
    let names = upstreams(50);
    let candidates = candidates(&names);
    for key in 0..100_u64 {
        let object = ObjectKey::new(&key.to_be_bytes());
        let whole = rank(object, &candidates);
        assert_eq!(first_choices(object, &candidates, 8), whole[..8]);
        assert_eq!(first_choices(object, &candidates, 80), whole);
    }
}
