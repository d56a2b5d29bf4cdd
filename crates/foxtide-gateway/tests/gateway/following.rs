//! Tests following the store through outages, compactions and rejected calls.

use crate::support::{
    Caller,
    FakeUpstream,
    Fleet,
    eventually,
    route, //
};
use foxtide_core::registry::{
    Registration,
    UpstreamState, //
};
use foxtide_gateway::Fact;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn verify_the_store_is_read_again_after_a_compaction() {
    let fleet = Fleet::new();
    let one = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/safe/", "request: r-1\r\n").head.status, 200);
    let two = fleet.upstream("i-2", "khomas-a");
    fleet.store.remove(&one.key());
    fleet.store.compact();
    let is_moved = || {
        instance.get("/safe/", "request: r-2\r\n");
        !two.seen().is_empty()
    };
    eventually("the new upstream gets requests", is_moved);
    let before = one.seen().len();
    instance.get("/safe/", "request: r-3\r\n");
    assert_eq!(one.seen().len(), before);
}

/// Guards against long waits: one that begins during a compaction may miss changes until it
/// ends, and a change has to be in force 2.5 s after it was acknowledged.
#[test]
fn verify_no_wait_is_longer_than_a_change_may_take() {
    let fleet = Fleet::new();
    let _instance = fleet.instance("edge-1", "khomas-a");
    eventually("a change is waited for", || {
        fleet.store.longest_wait() > Duration::ZERO
    });
    assert!(fleet.store.longest_wait() <= Duration::from_millis(2_000));
}

/// Pattern: hundreds of instances start beside others that have a copy; each page that one of
/// them reads comes over the link that all share.
#[test]
fn verify_an_instance_starts_from_a_copy_of_another_one() {
    let fleet = Fleet::new();
    let upstreams = (0..40).map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"));
    let _upstreams: Vec<FakeUpstream> = upstreams.collect();
    let first = fleet.instance("edge-1", "khomas-a");
    assert!(first.store.pages() > 1);
    eventually("it is listed as a source", || {
        fleet.store.listed_sources() == 1
    });
    let second = fleet.instance("edge-2", "erongo-a");
    assert_eq!(second.store.pages(), 0);
    assert_eq!(second.get("/safe/", "request: r-1\r\n").head.status, 200);
}

/// A source that is listed but gone must not keep another instance from starting.
#[test]
fn verify_an_instance_starts_beside_a_source_that_is_gone() {
    let fleet = Fleet::new();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let first = fleet.instance("edge-1", "khomas-a");
    eventually("it is listed as a source", || {
        fleet.store.listed_sources() == 1
    });
    drop(first);
    let second = fleet.instance_with_default_timeouts("edge-2", "khomas-a");
    assert!(second.store.pages() > 0);
    assert_eq!(second.get("/safe/", "request: r-1\r\n").head.status, 200);
}

#[test]
fn verify_requests_are_served_while_the_store_is_unavailable() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/safe/", "request: r-1\r\n").head.status, 200);
    fleet.store.set_unavailable(true);
    let calls = fleet.store.calls();
    eventually("calls fail", || fleet.store.calls() > calls + 3);
    assert_eq!(instance.get("/safe/", "request: r-2\r\n").head.status, 200);
    assert_eq!(instance.get("/ready", "").head.status, 200);
    // The registration lapses during the outage; the upstream registers again.
    fleet.store.remove(&upstream.key());
    fleet.store.set_unavailable(false);
    let calls = fleet.store.calls();
    eventually("calls go on", || fleet.store.calls() > calls + 2);
    assert_eq!(instance.get("/safe/", "request: r-3\r\n").head.status, 200);
    fleet.register(&upstream);
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(instance.get("/safe/", "request: r-4\r\n").head.status, 200);
}

#[test]
fn verify_a_registration_that_lapsed_in_an_outage_is_removed() {
    let fleet = Fleet::new();
    let one = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/safe/", "request: r-1\r\n").head.status, 200);
    fleet.store.set_unavailable(true);
    let calls = fleet.store.calls();
    eventually("calls fail", || fleet.store.calls() > calls + 1);
    fleet.store.remove(&one.key());
    fleet.store.set_unavailable(false);
    let is_gone = || instance.get("/safe/", "request: r-2\r\n").head.status == 503;
    eventually("the upstream is given up", is_gone);
}

#[test]
fn verify_an_instance_that_the_store_rejects_follows_a_peer() {
    let fleet = Fleet::new();
    let one = fleet.upstream("i-1", "khomas-a");
    let two = fleet.upstream("i-2", "erongo-a");
    let _peer = fleet.instance("edge-1", "khomas-a");
    let instance = fleet.instance("edge-2", "khomas-a");
    let peers_known = || {
        let body = instance.get("/lookup?region=khomas", "").body;
        String::from_utf8_lossy(&body).matches(':').count() == 2
    };
    eventually("the instances know each other", peers_known);
    instance.store.set_rejected(true);
    let zone = "khomas-a".parse().unwrap();
    fleet.store.put("evacuated/khomas-a", Fact::Evacuated(zone));
    let is_evacuated = || {
        let before = one.seen().len();
        for number in 0..5 {
            instance.get("/safe/", &format!("request: r-{number}\r\n"));
        }
        one.seen().len() == before
    };
    eventually("the zone is evacuated", is_evacuated);
    assert!(!two.seen().is_empty());
}

#[test]
fn verify_versions_of_the_configuration_never_go_back() {
    let fleet = Fleet::new();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    fleet.configure(7, vec![route("new", true)]);
    let has_new = || instance.get("/new/", "request: r-1\r\n").head.status == 200;
    eventually("the new version is in force", has_new);
    fleet.configure(5, vec![route("old", true)]);
    let calls = fleet.store.calls();
    eventually("the old one was read", || fleet.store.calls() > calls + 3);
    assert_eq!(instance.get("/old/", "request: r-2\r\n").head.status, 404);
    assert_eq!(instance.get("/new/", "request: r-3\r\n").head.status, 200);
}

#[test]
fn verify_an_instance_that_the_store_rejects_at_startup_reads_from_a_peer() {
    let fleet = Fleet::new();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let peer = fleet.instance("edge-1", "khomas-a");
    let instance = fleet.rejected_instance("edge-2", "khomas-a", &peer);
    let is_served = || instance.get("/safe/", "request: r-1\r\n").head.status == 200;
    eventually("the instance serves", is_served);
}

/// Guards against waiting for a peer that accepts a connection and never answers.
#[test]
fn verify_a_silent_peer_is_passed_over() {
    let fleet = Fleet::new();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let peer = fleet.instance("edge-1", "khomas-a");
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = vec![silent.local_addr().unwrap(), peer.gateway().peer_address()];
    let instance = fleet.rejected_instance_with_peers("edge-2", "khomas-a", peers);
    let is_served = || instance.get("/safe/", "request: r-1\r\n").head.status == 200;
    eventually("the instance serves", is_served);
}

/// Guards against refusing callers that reconnect right after a restart of the fleet and
/// retry only once.
#[test]
fn verify_a_request_right_after_a_start_waits_for_the_configuration() {
    let fleet = Fleet::new();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let is_served = || {
        fleet.store.set_unavailable(true);
        let calls = fleet.store.calls();
        let instance = fleet.start_instance("edge-1", "khomas-a");
        eventually("the first read fails", || fleet.store.calls() > calls);
        let mut caller = Caller::connect(instance.address());
        caller.send("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
        assert!(!instance.gateway().is_ready());
        fleet.store.set_unavailable(false);
        caller.read().head.status == 200
    };
    eventually("a request waits", is_served);
}

/// Guards against instances that cannot be replaced during an outage of the store.
#[test]
fn verify_an_instance_that_starts_during_an_outage_reads_from_a_peer() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let peer = fleet.instance("edge-1", "khomas-a");
    assert_eq!(peer.get("/safe/", "request: r-1\r\n").head.status, 200);
    fleet.store.set_unavailable(true);
    let instance = fleet.rejected_instance("edge-2", "khomas-a", &peer);
    let is_served = || instance.get("/safe/", "request: r-2\r\n").head.status == 200;
    eventually("the instance serves", is_served);
    // It follows the store once that is available again.
    instance.store.set_rejected(false);
    fleet.store.remove(&upstream.key());
    fleet.store.set_unavailable(false);
    let is_gone = || instance.get("/safe/", "request: r-3\r\n").head.status == 503;
    eventually("the upstream is given up", is_gone);
}

/// Guards against serving the first requests from stale pages without the changes since.
#[test]
fn verify_a_start_from_stale_pages_serves_the_current_state() {
    let fleet = Fleet::new();
    let gone = fleet.upstream("i-1", "khomas-a");
    fleet.store.snapshot_stale_reads();
    fleet.configure(7, vec![route("new", true)]);
    fleet.store.remove(&gone.key());
    let upstream = fleet.upstream("i-2", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/new/", "request: r-1\r\n").head.status, 200);
    assert_eq!(instance.get("/safe/", "request: r-2\r\n").head.status, 404);
    assert_eq!(upstream.seen().len(), 1);
    assert!(gone.seen().is_empty());
}

/// Guards against stale pages that bring back a removed upstream and an old configuration.
#[test]
fn verify_stale_pages_whose_changes_are_compacted_are_not_used() {
    let fleet = Fleet::new();
    let gone = fleet.upstream("i-1", "khomas-a");
    fleet.store.snapshot_stale_reads();
    fleet.configure(7, vec![route("new", true)]);
    fleet.store.remove(&gone.key());
    fleet.store.compact();
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/safe/", "request: r-1\r\n").head.status, 404);
    assert_eq!(instance.get("/new/", "request: r-2\r\n").head.status, 503);
    assert!(gone.seen().is_empty());
}

/// Guards against stale reads after a compaction, which would bring back outdated state.
#[test]
fn verify_no_stale_pages_are_read_after_a_compaction() {
    let fleet = Fleet::new();
    let one = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    fleet.store.snapshot_stale_reads();
    let two = fleet.upstream("i-2", "khomas-a");
    fleet.store.remove(&one.key());
    fleet.store.compact();
    let is_moved = || {
        instance.get("/safe/", "request: r-1\r\n");
        !two.seen().is_empty()
    };
    eventually("the new upstream gets requests", is_moved);
}

/// Registers more upstreams than fit in a page; returns the one with the last key.
fn fleet_of_pages() -> (Fleet, FakeUpstream) {
    let fleet = Fleet::new();
    let last = fleet.upstream("i-99", "khomas-a");
    for number in 10..55 {
        let registration = Registration {
            upstream: format!("i-{number}").parse().unwrap(),
            state: UpstreamState::Draining,
            ..last.registration()
        };
        let key = format!("upstream/i-{number}");
        fleet.store.put(&key, Fact::Registered(registration));
    }
    (fleet, last)
}

#[test]
fn verify_pages_are_read_to_the_last() {
    let (fleet, last) = fleet_of_pages();
    let instance = fleet.instance("edge-1", "khomas-a");
    assert_eq!(instance.get("/safe/", "request: r-1\r\n").head.status, 200);
    assert_eq!(last.seen().len(), 1);
}

/// Guards against missing a change to the first page while later pages are read.
#[test]
fn verify_changes_are_followed_from_the_oldest_page() {
    let (fleet, last) = fleet_of_pages();
    let first = fleet.upstream("i-01", "khomas-a");
    fleet.store.remove_after_page(&first.key());
    let instance = fleet.instance("edge-1", "khomas-a");
    for number in 0..5 {
        let response = instance.get("/safe/", &format!("request: r-{number}\r\n"));
        assert_eq!(response.head.status, 200);
    }
    assert_eq!(last.seen().len(), 5);
    assert!(first.seen().is_empty());
}
