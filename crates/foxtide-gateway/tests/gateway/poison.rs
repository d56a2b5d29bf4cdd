//! Tests the quarantine of requests that crash upstreams.

use crate::support::{
    Behaviour,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};

use foxtide_core::poison::{
    Fingerprint,
    QuarantineEntry,
    StoredEntry, //
};
use foxtide_core::store::StoreIndex;
use foxtide_gateway::Fact;
use std::time::Duration;

const UPSTREAMS: usize = 6;

/// Starts two instances that know each other, and upstreams with `behaviour`.
fn fleet(behaviour: &Behaviour) -> (Fleet, [Instance; 2], Vec<FakeUpstream>) {
    let fleet = Fleet::new();
    let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
        .map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"))
        .collect();
    for upstream in &upstreams {
        upstream.always(behaviour.clone());
    }
    let instances = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
    for instance in &instances {
        instance.wait_for_members(2);
    }
    (fleet, instances, upstreams)
}

fn ended_count(upstreams: &[FakeUpstream]) -> usize {
    let has_ended = |upstream: &&FakeUpstream| !upstream.seen().is_empty();
    upstreams.iter().filter(has_ended).count()
}

#[test]
fn verify_a_request_that_ends_upstreams_is_quarantined_everywhere() {
    verify_quarantined(Duration::from_millis(50));
}

/// Guards against ends that follow each other faster than their reports arrive.
#[test]
fn verify_a_request_that_ends_upstreams_at_once_is_quarantined_everywhere() {
    verify_quarantined(Duration::ZERO);
}

/// Sends a request that ends its upstreams after `end_after` to both instances in turn.
fn verify_quarantined(end_after: Duration) {
    let (_fleet, instances, upstreams) = fleet(&Behaviour::End(end_after));
    let send = |instance: &Instance| instance.get("/safe/deadly", "request: r\r\nobject: o\r\n");
    eventually("it is quarantined", || {
        let responses = [send(&instances[0]), send(&instances[1])];
        let is_refused = |response: &foxtide_http::WholeResponse| {
            response.head.status == 503 && response.head.lines.get("retry-after").is_some()
        };
        responses.iter().all(is_refused)
    });
    let before = ended_count(&upstreams);
    assert!((2..=4).contains(&before), "{before}");
    for _ in 0..10 {
        assert_eq!(send(&instances[0]).head.status, 503);
        assert_eq!(send(&instances[1]).head.status, 503);
    }
    assert_eq!(ended_count(&upstreams), before);
    // Another request for the same object is served.
    for upstream in &upstreams {
        upstream.always(Behaviour::SUCCESS);
    }
    let other = instances[0].get("/safe/other", "request: r\r\nobject: o\r\n");
    assert_eq!(other.head.status, 200);
}

/// Sends a request that ends its upstreams until both instances refuse it.
fn send_until_quarantined(instances: &[Instance; 2]) {
    eventually("it is quarantined", || {
        let mut responses = instances.iter().map(send_deadly);
        responses.all(|response| response.head.status == 503)
    });
}

fn send_deadly(instance: &Instance) -> foxtide_http::WholeResponse {
    instance.get("/safe/deadly", "request: r\r\nobject: o\r\n")
}

/// Guards against a quarantine that depends on one instance, which is dead but a member.
#[test]
fn verify_a_request_is_quarantined_whichever_instance_is_absent() {
    for absent in 0..3 {
        let fleet = Fleet::new();
        let upstreams: Vec<FakeUpstream> = (0..UPSTREAMS)
            .map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"))
            .collect();
        for upstream in &upstreams {
            upstream.always(Behaviour::End(Duration::from_millis(50)));
        }
        let names = ["edge-1", "edge-2", "edge-3"];
        let started = names.map(|name| fleet.instance_with_default_timeouts(name, "khomas-a"));
        let mut instances = Vec::from(started);
        for instance in &instances {
            instance.wait_for_members(3);
        }
        drop(instances.remove(absent));
        // The record of a dead instance remains until its lease lapses.
        eventually("it is quarantined", || {
            let responses = instances.iter().map(send_deadly);
            let refused = responses.filter(|response| response.head.status == 503);
            refused.count() == 2 && fleet.store.quarantined() == 1
        });
        let ended_count = ended_count(&upstreams);
        assert!(ended_count <= 4, "{absent}: {ended_count}");
    }
}

/// Guards against an instance that starts later and forwards the request.
#[test]
fn verify_an_instance_that_starts_later_knows_the_quarantine() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    send_until_quarantined(&instances);
    let before = ended_count(&upstreams);
    let later = fleet.instance("edge-3", "khomas-a");
    for _ in 0..5 {
        assert_eq!(send_deadly(&later).head.status, 503);
    }
    assert_eq!(ended_count(&upstreams), before);
}

/// Guards against an instance that forwards requests by stale state after a stall.
#[test]
fn verify_a_stalled_instance_syncs_the_quarantine_before_it_forwards() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    let [first, second] = instances;
    second.stall(Duration::from_secs(3));
    let parts: [&[u8]; 5] = [b"", b"GET", b"a.example", b"/safe/deadly", b""];
    let entry = StoredEntry {
        fingerprint: Fingerprint::new(&parts),
        entry: QuarantineEntry { ends: 3, trials: 0 },
        index: StoreIndex::ABSENT,
    };
    let key = format!("quarantine/{}", entry.fingerprint);
    fleet.store.put(&key, Fact::Quarantined(entry));
    eventually("the other one knows", || {
        send_deadly(&first).head.status == 503
    });
    let before = ended_count(&upstreams);
    assert_eq!(send_deadly(&second).head.status, 503);
    assert_eq!(ended_count(&upstreams), before);
}

/// Guards against losing the quarantine in a restart of all instances.
#[test]
fn verify_the_quarantine_survives_a_restart_of_all_instances() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    send_until_quarantined(&instances);
    let before = ended_count(&upstreams);
    drop(instances);
    for name in ["edge-1", "edge-2"] {
        fleet.store.expire_lease(name);
    }
    let later = fleet.instance("edge-3", "khomas-a");
    for _ in 0..5 {
        assert_eq!(send_deadly(&later).head.status, 503);
    }
    assert_eq!(ended_count(&upstreams), before);
}

/// Guards against losing the quarantine if the store is restored from a backup without it
/// before all instances are restarted.
#[test]
fn verify_the_quarantine_survives_a_restored_store_and_a_restart_of_all() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    fleet.store.make_backup();
    send_until_quarantined(&instances);
    eventually("the store holds the quarantined request", || {
        fleet.store.quarantined() == 1
    });
    let before = ended_count(&upstreams);
    fleet.store.restore_backup();
    assert_eq!(fleet.store.quarantined(), 0);
    eventually("it is written again", || fleet.store.quarantined() == 1);
    drop(instances);
    for name in ["edge-1", "edge-2"] {
        fleet.store.expire_lease(name);
    }
    let later = fleet.instance("edge-3", "khomas-a");
    assert_eq!(send_deadly(&later).head.status, 503);
    assert_eq!(ended_count(&upstreams), before);
}

/// Guards against losing the quarantine in a start from a peer during an outage.
#[test]
fn verify_an_instance_that_starts_without_the_store_gets_the_quarantine_from_a_peer() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    fleet.store.set_unavailable(true);
    send_until_quarantined(&instances);
    assert_eq!(fleet.store.quarantined(), 0);
    let before = ended_count(&upstreams);
    let later = fleet.rejected_instance("edge-3", "khomas-a", &instances[0]);
    eventually("it knows the configuration", || later.gateway().is_ready());
    assert_eq!(send_deadly(&later).head.status, 503);
    assert_eq!(ended_count(&upstreams), before);
    fleet.store.set_unavailable(false);
    eventually("the store holds the quarantined request", || {
        fleet.store.quarantined() == 1
    });
}

/// Guards against a permanent quarantine after upstreams failed for another cause.
#[test]
fn verify_a_request_that_is_served_in_its_trial_is_released_everywhere() {
    let (fleet, instances, upstreams) = fleet(&Behaviour::End(Duration::from_millis(50)));
    send_until_quarantined(&instances);
    for upstream in &upstreams {
        upstream.always(Behaviour::SUCCESS);
    }
    for instance in &instances {
        eventually("it is served", || send_deadly(instance).head.status == 200);
    }
    eventually("the store drops the entry", || {
        fleet.store.quarantined() == 0
    });
}

/// Guards against counting a closed connection as the end of a running upstream.
#[test]
fn verify_broken_connections_to_running_upstreams_quarantine_nothing() {
    let (_fleet, instances, upstreams) = fleet(&Behaviour::Break);
    for number in 0..20 {
        let response = instances[number % 2].get("/safe/x", "request: r\r\nobject: o\r\n");
        assert_eq!(response.head.status, 502);
    }
    for upstream in &upstreams {
        upstream.always(Behaviour::SUCCESS);
    }
    eventually("upstreams are not ejected any more", || {
        let response = instances[0].get("/safe/x", "request: r\r\nobject: o\r\n");
        response.head.status == 200
    });
}
