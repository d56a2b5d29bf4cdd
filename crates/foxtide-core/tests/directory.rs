//! Directing callers by what instances can carry: a region of four wide and many narrow links.

use foxtide_core::directory::{
    Candidate,
    Conditions,
    Selection,
    Selector, //
};
use foxtide_core::ids::AvailabilityZoneId;
use foxtide_core::time::MonotonicTime;
use foxtide_core::units::Share;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

const WIDE_MBPS: u32 = 200;
const NARROW_MBPS: u32 = 10;

fn at(time_ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(time_ms)
}

fn zones() -> [AvailabilityZoneId; 2] {
    ["cymru-a".parse().unwrap(), "cymru-b".parse().unwrap()]
}

/// Four wide instances, then ten narrow ones, in alternating zones.
fn region(zones: &[AvailabilityZoneId; 2]) -> Vec<Candidate<'_>> {
    (0..14)
        .map(|number| Candidate {
            link_mbps: if number < 4 { WIDE_MBPS } else { NARROW_MBPS },
            availability_zone: &zones[number % 2],
            utilisation: None,
            is_doubted: false,
        })
        .collect()
}

fn set_utilisation(candidates: &mut [Candidate<'_>], utilisation: f64) {
    for candidate in candidates {
        candidate.utilisation = Some(Share::clamped(utilisation));
    }
}

fn named(selection: &Selection) -> HashSet<usize> {
    selection.named().collect()
}

/// Guards against bulk responses on narrow links that delay whatever passes these.
#[test]
fn verify_wide_instances_alone_are_named_while_they_have_capacity() {
    let zones = zones();
    let mut selector = Selector::default();
    let selection = selector.select(&region(&zones), at(0), || 0.5);
    assert_eq!(named(&selection), HashSet::from([0, 1, 2, 3]));
    assert!(selection.narrow.is_empty());
    assert_eq!(selection.watched, [0, 1, 2, 3]);
}

/// Guards against a change for fleets whose links are alike or unknown.
#[test]
fn verify_all_are_named_where_links_are_alike() {
    let zones = zones();
    for link_mbps in [0, NARROW_MBPS, WIDE_MBPS] {
        let mut candidates = region(&zones);
        candidates
            .iter_mut()
            .for_each(|one| one.link_mbps = link_mbps);
        let selection = Selector::default().select(&candidates, at(0), || 0.99);
        assert_eq!(named(&selection).len(), candidates.len());
        assert!(selection.watched.is_empty());
    }
}

/// Guards against callers without a live instance after all wide ones are lost at once.
#[test]
fn verify_narrow_instances_replace_lost_wide_ones() {
    let zones = zones();
    let mut candidates = region(&zones);
    for wide in &mut candidates[..4] {
        wide.is_doubted = true;
    }
    let selection = Selector::default().select(&candidates, at(0), || 0.5);
    assert_eq!(named(&selection), (4..14).collect());
    assert_eq!(selection.watched, [0, 1, 2, 3]);
}

/// Guards against look-ups without an answer when the own link is cut.
#[test]
fn verify_all_are_named_when_all_are_in_doubt() {
    let zones = zones();
    let mut candidates = region(&zones);
    candidates.iter_mut().for_each(|one| one.is_doubted = true);
    let selection = Selector::default().select(&candidates, at(0), || 0.5);
    assert_eq!(named(&selection).len(), candidates.len());
}

/// Guards against answers that name one zone or one instance alone, which may fail together.
#[test]
fn verify_answers_name_three_instances_of_two_zones() {
    let zones = zones();
    for lost in [vec![0, 2], vec![0, 1, 2], vec![1, 2, 3]] {
        let mut candidates = region(&zones);
        lost.iter()
            .for_each(|&index| candidates[index].is_doubted = true);
        let named = named(&Selector::default().select(&candidates, at(0), || 0.5));
        let of_named = named
            .iter()
            .map(|&index| candidates[index].availability_zone);
        assert_eq!(of_named.collect::<HashSet<_>>().len(), 2, "{named:?}");
        assert!(named.len() >= 3, "{named:?}");
        assert!(lost.iter().all(|index| !named.contains(index)));
    }
}

/// Guards against wide instances without room, and against callers that are sent back and forth.
#[test]
fn verify_narrow_instances_come_in_when_wide_ones_fill_up_and_leave_late() {
    let zones = zones();
    let mut selector = Selector::default();
    let mut candidates = region(&zones);
    let mut narrow_at = |utilisation: f64, time_ms: u64| {
        set_utilisation(&mut candidates, utilisation);
        !selector
            .select(&candidates, at(time_ms), || 0.5)
            .narrow
            .is_empty()
    };
    assert!(!narrow_at(0.69, 0));
    assert!(narrow_at(0.71, 1_000));
    // Less than half would be unused without them.
    assert!(narrow_at(0.5, 10_000));
    assert!(!narrow_at(0.4, 20_000));
    // Demand that swings between both bounds changes nothing.
    for round in 1..20 {
        assert!(!narrow_at(0.68, 20_000 + round * 4_000));
        assert!(!narrow_at(0.45, 22_000 + round * 4_000));
    }
}

/// Guards against herding to the instance that is least used: each is named in proportion.
#[test]
fn verify_fuller_instances_are_named_less_often() {
    let zones = zones();
    let mut candidates = region(&zones);
    set_utilisation(&mut candidates, 0.2);
    candidates[0].utilisation = Some(Share::clamped(0.6));
    let mut selector = Selector::default();
    let mut random = fastrand::Rng::with_seed(3);
    let mut counts = [0_u32; 4];
    for round in 0..4_000 {
        let selection = selector.select(&candidates, at(round), || random.f64());
        selection.wide.iter().for_each(|&index| counts[index] += 1);
    }
    assert!((1_900..2_100).contains(&counts[0]), "{counts:?}");
    assert_eq!(counts[1..], [4_000; 3]);
}

/// Guards against a region whose full instances are all left out of answers.
#[test]
fn verify_equally_full_instances_are_all_named() {
    let zones = zones();
    let mut candidates = region(&zones);
    set_utilisation(&mut candidates, 1.0);
    let selection = Selector::default().select(&candidates, at(0), || 0.99);
    assert_eq!(selection.wide, [0, 1, 2, 3]);
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

/// Guards against callers that are directed to an instance that does not answer any more, and
/// against doubt after one lost datagram.
#[test]
fn verify_three_unanswered_probes_put_an_instance_in_doubt() {
    let mut conditions = Conditions::default();
    let probed = |conditions: &mut Conditions, time_ms| {
        !conditions
            .take_probes([peer(1)].into_iter(), 4, at(time_ms))
            .is_empty()
    };
    for time_ms in [0, 200, 400] {
        assert!(!conditions.is_doubted(peer(1), at(time_ms)));
        assert!(probed(&mut conditions, time_ms));
        assert!(!probed(&mut conditions, time_ms + 100));
    }
    assert!(!conditions.is_doubted(peer(1), at(599)));
    assert!(conditions.is_doubted(peer(1), at(600)));
    // An answer after two lost ones ends the count.
    let mut conditions = Conditions::default();
    for time_ms in [0, 200, 400] {
        assert!(probed(&mut conditions, time_ms));
    }
    conditions.record_utilisation(peer(1), Share::clamped(0.3), at(450));
    assert!(!conditions.is_doubted(peer(1), at(700)));
    assert_eq!(
        conditions.utilisation(peer(1), at(700)),
        Some(Share::clamped(0.3))
    );
    assert_eq!(conditions.utilisation(peer(1), at(3_450)), None);
}

/// Guards against an instance that flaps between named and not named.
#[test]
fn verify_an_instance_in_doubt_is_trusted_after_a_second_of_answers() {
    let mut conditions = Conditions::default();
    for time_ms in [0, 200, 400, 600] {
        conditions.take_probes([peer(1)].into_iter(), 4, at(time_ms));
    }
    assert!(conditions.is_doubted(peer(1), at(800)));
    conditions.record_datagram(peer(1), at(1_000));
    assert!(conditions.is_doubted(peer(1), at(1_900)));
    // A gap starts the second anew.
    conditions.take_probes([peer(1)].into_iter(), 4, at(1_500));
    assert!(conditions.is_doubted(peer(1), at(1_700)));
    conditions.record_datagram(peer(1), at(2_000));
    assert!(conditions.is_doubted(peer(1), at(2_900)));
    assert!(!conditions.is_doubted(peer(1), at(3_000)));
}

/// Guards against probes that grow with the fleet, and against ones that never reach some instance.
#[test]
fn verify_probes_are_limited_and_reach_all_instances_in_turn() {
    let mut conditions = Conditions::default();
    let peers: Vec<SocketAddr> = (1..=20).map(peer).collect();
    let mut probed = HashSet::new();
    for round in 0..5 {
        let now = at(round * 50);
        let probes = conditions.take_probes(peers.iter().copied(), 4, now);
        assert_eq!(probes.len(), 4);
        for probe in probes {
            conditions.record_datagram(probe, now);
            probed.insert(probe);
        }
    }
    assert_eq!(probed.len(), peers.len());
}
