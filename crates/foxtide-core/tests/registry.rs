//! Tests registered upstreams and live instances, also during outages of the store.

use foxtide_core::ids::{
    InstanceId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::registry::{
    FollowerBackoff,
    Member,
    Members,
    REGISTRATION_GRACE,
    Registration,
    Registry,
    RegistryChange,
    Requester,
    StorePhase,
    UpstreamState, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use std::collections::{
    BTreeMap,
    HashSet, //
};
use std::time::Duration;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_ms(ms)
}

fn upstream(name: &str) -> UpstreamId {
    name.parse().unwrap()
}

fn service() -> ServiceId {
    "viewer".parse().unwrap()
}

fn registration(name: &str) -> Registration {
    Registration {
        upstream: upstream(name),
        born_at: None,
        service: service(),
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: "khomas-a".parse().unwrap(),
        region: "khomas".parse().unwrap(),
        slots: 4,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
    }
}

fn eligible(registry: &Registry) -> Vec<&str> {
    let eligible = registry.eligible(&service()).iter();
    eligible
        .map(|registered| registered.registration.upstream.as_str())
        .collect()
}

#[test]
fn verify_a_draining_upstream_gets_nothing() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    let draining = Registration {
        state: UpstreamState::Draining,
        ..registration("i-1")
    };
    let change = registry.register(draining, at(5));
    assert_eq!(change, RegistryChange::Left(upstream("i-1")));
    assert!(eligible(&registry).is_empty());
}

#[test]
fn verify_a_missing_upstream_is_removed_at_once_while_the_store_is_available() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    registry.unregister(&upstream("i-1"), at(5));
    assert!(eligible(&registry).is_empty());
}

#[test]
fn verify_registrations_that_expire_in_an_outage_are_kept_for_the_grace_period() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    registry.register(registration("i-2"), at(0));
    registry.store_failed();
    registry.store_answered(at(1_000));
    let changes = registry.replace(Vec::new(), at(1_000));
    assert_eq!(changes.len(), 2);
    assert_eq!(eligible(&registry), ["i-1", "i-2"]);

    registry.register(registration("i-2"), at(1_500));
    let settled = at(1_000) + REGISTRATION_GRACE + Duration::from_millis(1);
    assert!(registry.has_missing());
    assert_eq!(
        registry.expire(settled),
        [RegistryChange::Left(upstream("i-1"))]
    );
    assert_eq!(eligible(&registry), ["i-2"]);
}

#[test]
fn verify_an_expiry_after_the_grace_period_removes_the_upstream() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    registry.store_failed();
    registry.store_answered(at(1_000));
    let later = at(1_000) + REGISTRATION_GRACE + Duration::from_millis(1);
    registry.store_answered(later);
    registry.unregister(&upstream("i-1"), later);
    assert!(eligible(&registry).is_empty());
}

#[test]
fn verify_a_missing_draining_upstream_is_removed_during_an_outage() {
    let mut registry = Registry::default();
    let draining = Registration {
        state: UpstreamState::Draining,
        ..registration("i-1")
    };
    registry.register(draining, at(0));
    registry.store_failed();
    let change = registry.unregister(&upstream("i-1"), at(10));
    assert_eq!(change, RegistryChange::Left(upstream("i-1")));
}

#[test]
fn verify_a_discarded_incarnation_never_returns() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    registry.discard(&registration("i-1"), at(10));
    registry.register(registration("i-1"), at(20));
    assert!(eligible(&registry).is_empty());
}

#[test]
fn verify_an_evacuated_zone_gets_nothing_and_returns_cold() {
    let mut registry = Registry::default();
    let cold = Duration::from_secs(3);
    registry.register(registration("i-1"), at(0));
    let zones = HashSet::from(["khomas-a".parse().unwrap()]);
    registry.set_evacuated(zones, cold, at(100));
    assert!(eligible(&registry).is_empty());
    registry.set_evacuated(HashSet::new(), cold, at(200));
    let returned = &registry.eligible(&service())[0];
    assert!(returned.is_cold(at(3_100)));
    assert!(!returned.is_cold(at(3_200)));
}

fn member(name: &str, region: &str) -> Member {
    Member {
        instance: name.parse().unwrap(),
        caller_address: "127.0.0.1:9".parse().unwrap(),
        peer_address: "127.0.0.1:10".parse().unwrap(),
        datagram_address: "127.0.0.1:11".parse().unwrap(),
        availability_zone: format!("{region}-a").parse().unwrap(),
        region: region.parse().unwrap(),
        registrar: None,
        link_mbps: 0,
        is_cut_off: false,
    }
}

#[test]
fn verify_callers_are_directed_to_their_region_or_anywhere_where_it_has_none() {
    let mut members = Members::default();
    members.join(member("one", "khomas"), MonotonicTime::ZERO);
    members.join(member("two", "erongo"), MonotonicTime::ZERO);
    let near = members.nearest(&"erongo".parse().unwrap());
    assert_eq!(near, [&member("two", "erongo")]);
    assert_eq!(members.nearest(&"oshana".parse().unwrap()).len(), 2);
}

#[test]
fn verify_a_lease_that_lapses_in_an_outage_does_not_end_an_instance() {
    let mut members = Members::default();
    members.join(member("one", "khomas"), MonotonicTime::ZERO);
    let instance = "one".parse().unwrap();
    assert!(!members.leave(&instance, StorePhase::Unavailable, at(10)));
    assert_eq!(members.all().count(), 1);
    let phase = StorePhase::Recovering { since: at(20) };
    members.expire(phase, at(30));
    assert_eq!(members.all().count(), 1);
    members.expire(phase, at(21) + REGISTRATION_GRACE);
    assert_eq!(members.all().count(), 0);
}

#[test]
fn verify_a_large_fleet_has_a_few_watchers_per_region() {
    let mut members = Members::default();
    let own = "khomas".parse().unwrap();
    for number in 0..8 {
        members.join(
            member(&format!("k-{number}"), "khomas"),
            MonotonicTime::ZERO,
        );
        members.join(
            member(&format!("e-{number}"), "erongo"),
            MonotonicTime::ZERO,
        );
    }
    assert!(members.watchers(&own).is_empty());
    let ordered = members.watchers_nearest_first(&own);
    assert_eq!(ordered.len(), 16);
    assert!(ordered[..8].iter().all(|member| member.region == own));

    members.join(member("k-8", "khomas"), MonotonicTime::ZERO);
    let watchers: Vec<_> = members.watchers(&own).into_iter().cloned().collect();
    assert_eq!(watchers.len(), 3);
    let ordered: Vec<_> = members
        .watchers_nearest_first(&own)
        .into_iter()
        .cloned()
        .collect();
    assert_eq!(ordered.len(), 6);
    assert_eq!(ordered[..3], watchers[..]);
    // The departure of one watcher does not replace all others.
    members.leave(&watchers[0].instance, StorePhase::Available, at(1));
    members.join(member("k-9", "khomas"), MonotonicTime::ZERO);
    let after = members.watchers(&own);
    assert!(after.contains(&&watchers[1]) || after.contains(&&watchers[2]));
}

/// Guards against one watcher's link carrying the traffic of all followers of a zone.
#[test]
fn verify_the_followers_of_a_zone_spread_over_its_watchers() {
    let mut members = Members::default();
    let region = "khomas".parse().unwrap();
    for number in 0..100 {
        let zone = if number < 60 { "khomas-a" } else { "khomas-b" };
        let candidate = Member {
            availability_zone: zone.parse().unwrap(),
            ..member(&format!("k-{number}"), "khomas")
        };
        members.join(candidate, MonotonicTime::ZERO);
        members.join(
            member(&format!("e-{number}"), "erongo"),
            MonotonicTime::ZERO,
        );
    }
    let in_zone = |name: &str| {
        let watchers = members.watchers(&region).into_iter();
        watchers
            .filter(|watcher| watcher.availability_zone.as_str() == name)
            .count()
    };
    assert_eq!((in_zone("khomas-a"), in_zone("khomas-b")), (4, 3));
    let mut followers: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for own in members.all().filter(|member| member.region == region) {
        let requester = Requester {
            instance: &own.instance,
            availability_zone: &own.availability_zone,
            region: &own.region,
        };
        let mut watchers = members.watchers_nearest_first(&region);
        Members::sort_by_proximity(&mut watchers, &requester);
        assert!(watchers[..7].iter().all(|watcher| watcher.region == region));
        assert_eq!(watchers[0].availability_zone, own.availability_zone);
        *followers.entry(watchers[0].instance.clone()).or_default() += 1;
    }
    assert_eq!(followers.len(), 7);
    assert!(
        followers.values().all(|&count| count <= 25),
        "{followers:?}"
    );
}

#[test]
fn verify_the_generation_changes_with_the_eligible_upstreams() {
    let mut registry = Registry::default();
    let mut before = registry.generation();
    let mut changes = |registry: &Registry| {
        let now = registry.generation();
        now != std::mem::replace(&mut before, now)
    };
    registry.register(registration("i-1"), at(0));
    assert!(changes(&registry));
    let draining = Registration {
        state: UpstreamState::Draining,
        ..registration("i-2")
    };
    registry.register(draining, at(1));
    assert!(!changes(&registry), "a draining upstream is not eligible");
    registry.set_evacuated(
        HashSet::from(["khomas-a".parse().unwrap()]),
        Duration::ZERO,
        at(2),
    );
    assert!(changes(&registry));
    registry.set_evacuated(HashSet::new(), Duration::ZERO, at(3));
    assert!(changes(&registry));
    registry.unregister(&upstream("i-1"), at(4));
    assert!(changes(&registry));
    registry.unregister(&upstream("i-1"), at(5));
    assert!(!changes(&registry));
}

/// Guards against a flood of direct store calls while the watchers report an outage.
#[test]
fn verify_a_follower_rarely_retries_a_failed_store() {
    let mut backoff = FollowerBackoff::default();
    let mut calls = 0;
    for ms in 0..8_000 {
        let now = at(ms);
        if backoff.is_due(now) {
            calls += 1;
            backoff.store_failed(now, 0.5);
        }
    }
    assert_eq!(calls, 3);
    backoff.store_failed(at(8_000), 0.0);
    assert!(!backoff.is_due(at(9_499)));
    assert!(backoff.is_due(at(9_500)));
    backoff.store_answered();
    assert!(backoff.is_due(at(8_001)));
}

/// Guards against all followers calling the store at once when their watchers get no
/// answer.
#[test]
fn verify_followers_wait_before_calling_a_store_that_fails_their_watchers() {
    let mut backoff = FollowerBackoff::default();
    backoff.watchers_failed(at(0), 0.0);
    assert!(!backoff.is_due(at(499)));
    assert!(backoff.is_due(at(500)));
    // A later report of the watchers does not postpone it.
    backoff.watchers_failed(at(400), 1.0);
    assert!(backoff.is_due(at(500)));
    backoff.watcher_answered();
    backoff.watchers_failed(at(1_000), 1.0);
    assert!(!backoff.is_due(at(2_499)));
    backoff.watcher_answered();
    assert!(backoff.is_due(at(2_000)));
}

/// Guards against alternating between available and unavailable, which keeps departed
/// upstreams, when only the watchers are cut off from the store.
#[test]
fn verify_a_follower_that_the_store_answers_keeps_calling_it() {
    let mut backoff = FollowerBackoff::default();
    backoff.watchers_failed(at(0), 0.0);
    assert!(!backoff.is_due(at(499)));
    backoff.store_answered();
    for ms in [1_300, 2_100, 2_900] {
        backoff.watchers_failed(at(ms), 1.0);
        assert!(backoff.is_due(at(ms)), "{ms}");
        backoff.store_answered();
    }
    // The backoff applies again once the store fails this instance too.
    backoff.store_failed(at(3_000), 0.0);
    backoff.watchers_failed(at(3_100), 0.0);
    assert!(!backoff.is_due(at(4_499)));
    backoff.store_answered();
    backoff.watcher_answered();
    backoff.watchers_failed(at(6_000), 0.0);
    assert!(!backoff.is_due(at(6_499)));
}

/// Returns the registration of an upstream that reports its start time.
fn started_at(name: &str, ms: u64) -> Registration {
    Registration {
        born_at: Some(WallTime::from_ms(ms)),
        ..registration(name)
    }
}

#[test]
fn verify_a_restart_under_the_same_name_is_a_new_incarnation() {
    let mut registry = Registry::default();
    let first = started_at("i-1", 1_000);
    registry.register(first.clone(), at(0));
    assert_eq!(
        registry.register(first.clone(), at(1)),
        RegistryChange::None
    );
    let second = started_at("i-1", 2_000);
    let change = registry.register(second.clone(), at(2));
    assert_eq!(change, RegistryChange::Restarted(upstream("i-1")));
    assert!(!registry.is_current(&first));
    assert!(registry.is_current(&second));
}

/// A discarded incarnation must not block the next one of its name.
#[test]
fn verify_a_discarded_upstream_returns_with_its_next_incarnation() {
    let mut registry = Registry::default();
    let first = started_at("i-1", 1_000);
    registry.register(first.clone(), at(0));
    registry.discard(&first, at(1));
    registry.register(first.clone(), at(2));
    assert!(eligible(&registry).is_empty());
    registry.register(started_at("i-1", 2_000), at(3));
    assert_eq!(eligible(&registry), ["i-1"]);
    // A late discard of the first incarnation does not affect the second.
    assert_eq!(registry.discard(&first, at(4)), RegistryChange::None);
    assert_eq!(eligible(&registry), ["i-1"]);
}

/// Each incarnation reports its own cold phase.
#[test]
fn verify_the_cold_phase_of_an_earlier_incarnation_is_over() {
    let mut registry = Registry::default();
    let cold = Registration {
        cold_remaining: Duration::from_secs(3),
        ..started_at("i-1", 1_000)
    };
    registry.register(cold, at(0));
    registry.register(started_at("i-1", 2_000), at(10));
    let registered = registry.registered(&upstream("i-1")).unwrap();
    assert!(!registered.is_cold(at(10)));
}

/// Relays and full reads of the store may report outdated registrations.
#[test]
fn verify_an_older_incarnation_never_replaces_a_newer_one() {
    let mut registry = Registry::default();
    let second = started_at("i-1", 2_000);
    registry.register(second.clone(), at(0));
    registry.register(started_at("i-1", 1_000), at(1));
    assert!(registry.is_current(&second));
    registry.replace(vec![started_at("i-1", 1_000)], at(2));
    assert!(registry.is_current(&second));
    // This holds after the newer incarnation has left.
    registry.unregister(&upstream("i-1"), at(3));
    registry.register(started_at("i-1", 1_000), at(4));
    assert!(eligible(&registry).is_empty());
    registry.register(second, at(5));
    assert_eq!(eligible(&registry), ["i-1"]);
}

/// An entry without a start time under a name that has had one was made by another
/// writer.
#[test]
fn verify_an_entry_without_the_start_time_removes_the_upstream() {
    let mut registry = Registry::default();
    registry.register(started_at("i-1", 1_000), at(0));
    registry.register(registration("i-2"), at(0));
    let change = registry.register(registration("i-1"), at(1));
    assert_eq!(change, RegistryChange::Left(upstream("i-1")));
    assert_eq!(eligible(&registry), ["i-2"]);
    registry.register(started_at("i-1", 1_000), at(2));
    assert_eq!(eligible(&registry), ["i-1", "i-2"]);
}

/// An unreadable entry ends the upstream even during an outage of the store.
#[test]
fn verify_an_unreadable_entry_removes_the_upstream_at_once() {
    let mut registry = Registry::default();
    registry.register(registration("i-1"), at(0));
    registry.store_failed();
    let change = registry.remove_unreadable(&upstream("i-1"));
    assert_eq!(change, RegistryChange::Left(upstream("i-1")));
    assert!(eligible(&registry).is_empty());
    assert_eq!(
        registry.remove_unreadable(&upstream("i-1")),
        RegistryChange::None
    );
}

/// Guards against a watcher on a slow link that delays all its followers.
#[test]
fn verify_watchers_have_the_fastest_links() {
    let mut members = Members::default();
    let region = "khomas".parse().unwrap();
    for number in 0..40 {
        let candidate = Member {
            link_mbps: if number % 10 == 3 { 200 } else { 10 },
            ..member(&format!("k-{number}"), "khomas")
        };
        members.join(candidate, MonotonicTime::ZERO);
    }
    let watchers = members.watchers(&region);
    assert_eq!(watchers.len(), 3);
    assert!(watchers.iter().all(|watcher| watcher.link_mbps == 200));
}

/// Returns a member of the region `khomas` for each link.
fn members_with_links(links_mbps: &[u32]) -> Members {
    let mut members = Members::default();
    for (number, link_mbps) in links_mbps.iter().enumerate() {
        members.join(member_with_link(number, *link_mbps), at(0));
    }
    members
}

fn member_with_link(number: usize, link_mbps: u32) -> Member {
    Member {
        link_mbps,
        ..member(&format!("k-{number}"), "khomas")
    }
}

/// Returns the coordinators of `count` upstreams.
fn coordinators(members: &Members, count: usize) -> Vec<&str> {
    let region = "khomas".parse().unwrap();
    let coordinator = |number| members.coordinator(&upstream(&format!("i-{number}")), &region);
    let coordinators = (0..count).map(|number| coordinator(number).unwrap());
    coordinators
        .map(|member| member.instance.as_str())
        .collect()
}

/// Guards against slot requests that wait for the bulk transfers of narrow links, and against
/// instances whose records lack the link that coordinate nothing.
#[test]
fn verify_coordinators_follow_the_links() {
    let members = members_with_links(&[200, 0, 10, 10, 10, 10]);
    let coordinators = coordinators(&members, 20_000);
    let count = |name: &str| coordinators.iter().filter(|one| **one == name).count();
    // Each has 200 of 440 Mbit/s.
    for wide in ["k-0", "k-1"] {
        assert!((8_800..9_400).contains(&count(wide)), "{}", count(wide));
    }
    assert!(count("k-5") > 300, "{}", count("k-5"));
}

/// Guards against a change of all coordinators in deployments with equal links.
#[test]
fn verify_equal_or_unknown_links_leave_the_choice_by_hash() {
    for links_mbps in [[0; 7], [10; 7], [0, 10, 10, 0, 10, 10, 10]] {
        let members = members_with_links(&links_mbps);
        for (number, chosen) in coordinators(&members, 500).into_iter().enumerate() {
            let seed = xxh3_64(format!("i-{number}").as_bytes());
            let names = (0..7).map(|number| format!("k-{number}"));
            let expected = names.max_by_key(|name| xxh3_64_with_seed(name.as_bytes(), seed));
            assert_eq!(Some(chosen), expected.as_deref());
        }
    }
}

/// Guards against upstreams that change their coordinator although the best one stayed: slots
/// would be granted twice.
#[test]
fn verify_only_the_upstreams_of_a_leaving_coordinator_move() {
    let before = members_with_links(&[200, 10, 10, 200, 12]);
    let after = members_with_links(&[200, 10, 10, 200]);
    let both = coordinators(&before, 2_000).into_iter();
    for (previous, next) in both.zip(coordinators(&after, 2_000)) {
        assert!(previous == "k-4" || previous == next);
    }
}

/// Guards against a rate that two instances hand out at the same time, since the new coordinator
/// does not know that the upstream has just become its own.
#[test]
fn verify_a_changed_link_counts_as_a_change_of_the_members() {
    let mut members = members_with_links(&[10, 10]);
    let region = "khomas".parse().unwrap();
    members.join(member_with_link(0, 10), at(5));
    assert_eq!(members.changed_at(&region), at(0));
    assert!(!members.join(member_with_link(0, 200), at(5)));
    assert_eq!(members.changed_at(&region), at(5));
}
