//! Tests which instances coordinate the slots of upstreams.

use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::registry::{
    Member,
    Members, //
};
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

const UPSTREAMS: usize = 20_000;

fn member(name: &str, link_mbps: u32) -> Member {
    Member {
        instance: name.parse().unwrap(),
        caller_address: "127.0.0.1:9".parse().unwrap(),
        peer_address: "127.0.0.1:10".parse().unwrap(),
        datagram_address: "127.0.0.1:11".parse().unwrap(),
        availability_zone: "khomas-a".parse().unwrap(),
        region: region(),
        registrar: None,
        link_mbps,
        is_cut_off: false,
    }
}

fn region() -> RegionId {
    "khomas".parse().unwrap()
}

fn members(links_mbps: &[u32]) -> Members {
    let mut members = Members::default();
    for (number, link_mbps) in links_mbps.iter().enumerate() {
        members.join(
            member(&format!("k-{number}"), *link_mbps),
            MonotonicTime::ZERO,
        );
    }
    members
}

fn upstreams() -> impl Iterator<Item = UpstreamId> {
    (0..UPSTREAMS).map(|number| format!("i-{number}").parse().unwrap())
}

fn coordinator(members: &Members, upstream: &UpstreamId) -> String {
    let member = members.coordinator(upstream, &region()).unwrap();
    member.instance.to_string()
}

fn counts(members: &Members) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for upstream in upstreams() {
        *counts.entry(coordinator(members, &upstream)).or_default() += 1;
    }
    counts
}

/// Guards against slot requests that wait for the bulk transfers of narrow links.
#[test]
fn verify_coordinators_follow_the_links() {
    let counts = counts(&members(&[200, 200, 10, 10, 10, 10]));
    let of_wide = counts["k-0"] + counts["k-1"];
    // 400 of 440 Mbit/s.
    assert!((17_900..18_450).contains(&of_wide), "{of_wide}");
    assert!(counts.values().all(|count| *count > 300), "{counts:?}");
}

/// Guards against a change of all coordinators in deployments with equal links.
#[test]
fn verify_equal_or_unknown_links_leave_the_choice_by_hash() {
    for links_mbps in [[0; 7], [10; 7], [0, 10, 10, 0, 10, 10, 10]] {
        let members = members(&links_mbps);
        for upstream in upstreams().take(500) {
            let seed = xxh3_64(upstream.as_str().as_bytes());
            let hash = |name: &String| xxh3_64_with_seed(name.as_bytes(), seed);
            let names = (0..7).map(|number| format!("k-{number}"));
            let expected = names.max_by_key(hash).unwrap();
            assert_eq!(coordinator(&members, &upstream), expected);
        }
    }
}

/// Guards against instances of an older version, whose records lack the link, that coordinate
/// nothing or everything.
#[test]
fn verify_an_unknown_link_counts_as_the_widest() {
    let counts = counts(&members(&[200, 0, 10]));
    let (wide, unknown) = (counts["k-0"], counts["k-1"]);
    assert!(wide.abs_diff(unknown) < 600, "{counts:?}");
}

/// Guards against upstreams that change their coordinator although the best one stayed: slots
/// would be granted twice.
#[test]
fn verify_only_the_upstreams_of_a_leaving_instance_move() {
    let before = members(&[200, 10, 10, 200, 12]);
    let after = members(&[200, 10, 10, 200]);
    for upstream in upstreams().take(2_000) {
        let previous = coordinator(&before, &upstream);
        if previous != "k-4" {
            assert_eq!(coordinator(&after, &upstream), previous);
        }
    }
}

/// Guards against a rate that two instances hand out at the same time, since the new coordinator
/// does not know that the upstream has just become its own.
#[test]
fn verify_a_changed_link_counts_as_a_change_of_the_members() {
    let mut members = members(&[10, 10]);
    let later = MonotonicTime::from_ms(5);
    members.join(member("k-0", 10), later);
    assert_eq!(members.changed_at(&region()), MonotonicTime::ZERO);
    assert!(!members.join(member("k-0", 200), later));
    assert_eq!(members.changed_at(&region()), later);
}
