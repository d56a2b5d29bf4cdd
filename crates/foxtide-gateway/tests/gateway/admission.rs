//! Admission to the slots of upstreams that instances share.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::routing::Route;
use std::time::Duration;

/// The most requests in flight at an upstream of the fleet: four in slots, and one that waits
/// there for the next.
const ADMITTED: usize = 5;

/// Returns the route with a timeout that no test reaches.
fn with_long_timeout(route: Route) -> Route {
    Route {
        timeout: Duration::from_secs(60),
        ..route
    }
}

/// Returns two instances that know each other, and an upstream that never responds.
fn fleet_with_a_silent_upstream() -> (Fleet, [Instance; 2], FakeUpstream) {
    let (fleet, instances, [upstream]) = fleet_with_silent_upstreams(["i-1"]);
    (fleet, instances, upstream)
}

fn fleet_with_silent_upstreams<const COUNT: usize>(
    names: [&str; COUNT],
) -> (Fleet, [Instance; 2], [FakeUpstream; COUNT]) {
    let fleet = Fleet::new();
    let routes = vec![
        with_long_timeout(route("safe", true)),
        with_long_timeout(route("once", false)),
    ];
    fleet.configure(2, routes);
    let upstreams = names.map(|name| fleet.upstream(name, "khomas-a"));
    for upstream in &upstreams {
        upstream.always(Behaviour::Silent);
    }
    let instances = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
    for instance in &instances {
        instance.wait_for_members(2);
    }
    (fleet, instances, upstreams)
}

fn send(instance: &Instance, path: &str, request: &str) -> Caller {
    let mut caller = Caller::connect(instance.address());
    caller.send(&format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nrequest: {request}\r\n\
         object: {request}\r\n\r\n"
    ));
    caller
}

/// Fills the slots from both instances in turn.
fn fill_slots(instances: &[Instance; 2], upstream: &FakeUpstream) -> Vec<Caller> {
    let callers = (0..ADMITTED)
        .map(|number| send(&instances[number % 2], "/safe/", &format!("first-{number}")))
        .collect();
    eventually("the slots are taken", || upstream.seen().len() == ADMITTED);
    callers
}

#[test]
fn verify_instances_keep_to_an_upstreams_slots_together() {
    let (_fleet, instances, upstream) = fleet_with_a_silent_upstream();
    let mut callers = fill_slots(&instances, &upstream);
    for instance in &instances {
        let lines = "request: r-1\r\ntime-left-ms: 300\r\nobject: r-1\r\n";
        let response = instance.get("/safe/", lines);
        assert_eq!(response.head.status, 503);
        assert!(response.head.lines.get("retry-after").is_some());
    }
    assert_eq!(upstream.seen().len(), ADMITTED);

    // A waiting request gets the slot of a caller that disconnects.
    let _waiting = send(&instances[0], "/safe/", "next");
    drop(callers.pop());
    eventually("the freed slot is used", || {
        upstream.seen().iter().any(|seen| seen.request == "next")
    });
}

#[test]
fn verify_a_waiting_request_is_not_sent_after_its_caller_disconnects() {
    for path in ["/safe/", "/once/"] {
        let (_fleet, instances, upstream) = fleet_with_a_silent_upstream();
        let mut callers = fill_slots(&instances, &upstream);
        let left = send(&instances[0], path, "left");
        let _stays = send(&instances[1], path, "stays");
        drop(left);
        // Requests on new connections are served after the close has been seen.
        for _ in 0..2 {
            instances[0].get("/ready", "");
        }
        // The freed slots go to the waiting requests, the last one to a later request.
        drop(callers.pop());
        drop(callers.pop());
        let _later = send(&instances[0], "/safe/", "later");
        let seen = |request: &str| upstream.seen().iter().any(|seen| seen.request == request);
        eventually("those that stay are served", || {
            seen("stays") && seen("later")
        });
        assert!(!seen("left"), "{path}");
    }
}

/// Guards against work for nobody: an upstream that rejects a request after its caller has left
/// must not lead to an attempt at another upstream.
#[test]
fn verify_a_rejected_request_is_not_sent_on_after_its_caller_disconnects() {
    for path in ["/safe/", "/once/"] {
        let fleet = Fleet::new();
        let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
        let instance = fleet.instance("edge-1", "khomas-a");
        let seen = || {
            let all = upstreams.iter().flat_map(FakeUpstream::seen);
            all.map(|seen| seen.request).collect::<Vec<String>>()
        };
        for upstream in &upstreams {
            upstream.next(Behaviour::FullAfter(Duration::from_millis(300)));
        }
        let left = send(&instance, path, "left");
        eventually("the request arrives", || seen() == ["left"]);
        drop(left);
        // The rejection has passed once both upstreams have answered later requests.
        std::thread::sleep(Duration::from_millis(600));
        for number in 0..8 {
            let lines = format!("request: later-{number}\r\nobject: {number}\r\n");
            instance.get("/safe/", &lines);
        }
        let sent = seen().iter().filter(|request| *request == "left").count();
        assert_eq!(sent, 1, "{path}");
    }
}

/// Guards against work for nobody: bytes that a caller has sent ahead must not hide that it
/// has left, with a close or a reset.
#[test]
fn verify_a_caller_that_has_sent_ahead_is_seen_to_leave() {
    for is_reset in [false, true] {
        let (_fleet, [instance, _other], upstream) = fleet_with_a_silent_upstream();
        let mut caller = send(&instance, "/safe/", "first");
        eventually("the request arrives", || upstream.seen().len() == 1);
        caller.send("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: ahead\r\n\r\n");
        // Requests on new connections are served after these bytes have been noticed.
        for _ in 0..2 {
            instance.get("/ready", "");
        }
        if is_reset {
            caller.reset();
        } else {
            drop(caller);
        }
        eventually("the request is cancelled", || upstream.cancelled() == 1);
        assert_eq!(upstream.seen().len(), 1, "reset: {is_reset}");
    }
}

/// Guards against a request that is sent after its caller has left, which bytes sent ahead hide.
#[test]
fn verify_a_waiting_request_is_not_sent_after_its_caller_has_sent_ahead_and_left() {
    for path in ["/safe/", "/once/"] {
        let (_fleet, instances, upstream) = fleet_with_a_silent_upstream();
        let mut callers = fill_slots(&instances, &upstream);
        let mut left = send(&instances[0], path, "left");
        let _stays = send(&instances[1], path, "stays");
        instances[0].get("/ready", "");
        left.send("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: ahead\r\n\r\n");
        instances[0].get("/ready", "");
        drop(left);
        for _ in 0..2 {
            instances[0].get("/ready", "");
        }
        drop(callers.pop());
        drop(callers.pop());
        let _later = send(&instances[0], "/safe/", "later");
        let seen = |request: &str| upstream.seen().iter().any(|seen| seen.request == request);
        eventually("those that stay are served", || {
            seen("stays") && seen("later")
        });
        assert!(!seen("left"), "{path}");
    }
}

#[test]
fn verify_requests_go_on_without_their_coordinator() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2", "i-3", "i-4"].map(|name| fleet.upstream(name, "khomas-a"));
    let first = fleet.instance_with_default_timeouts("edge-1", "khomas-a");
    let second = fleet.instance("edge-2", "khomas-a");
    first.wait_for_members(2);
    // Its lease is still valid, so it still counts as the coordinator.
    drop(second);
    for number in 0..16 {
        let lines = format!("request: r-{number}\r\nobject: {number}\r\n");
        assert_eq!(first.get("/safe/", &lines).head.status, 200);
    }
    let seen: usize = upstreams.iter().map(|upstream| upstream.seen().len()).sum();
    assert_eq!(seen, 16);
}

#[test]
fn verify_a_request_that_waits_for_a_leaving_upstream_goes_elsewhere() {
    let (fleet, instances, upstream) = fleet_with_a_silent_upstream();
    let _callers = fill_slots(&instances, &upstream);
    let mut waiting = send(&instances[0], "/safe/", "next");
    let other = fleet.upstream("i-2", "khomas-a");
    fleet.store.remove(&upstream.key());
    assert_eq!(waiting.read().head.status, 200);
    assert_eq!(other.seen()[0].request, "next");
}

#[test]
fn verify_a_request_that_would_be_late_takes_a_free_slot_of_the_second_choice() {
    let (_fleet, instances, [one, two]) = fleet_with_silent_upstreams(["i-1", "i-2"]);
    // Long enough that no grant lapses while the test runs on a busy machine.
    let slow = Behaviour::Respond(200, "fine", Duration::from_secs(2));
    for upstream in [&one, &two] {
        upstream.next(slow.clone());
        upstream.next(slow.clone());
    }
    // The first request for the object, and a repeated one.
    for lines in [
        "request: r-0\r\nobject: o\r\n",
        "request: r-1\r\nobject: o\r\n",
    ] {
        assert_eq!(instances[0].get("/safe/", lines).head.status, 200);
    }
    let (own, other) = if one.seen().is_empty() {
        (&two, &one)
    } else {
        (&one, &two)
    };
    let send = |number: usize| {
        let mut caller = Caller::connect(instances[number % 2].address());
        caller.send(&format!(
            "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: s-{number}\r\nobject: o\r\n\r\n"
        ));
        caller
    };
    let _callers: Vec<Caller> = (0..ADMITTED).map(send).collect();
    eventually("the slots are taken", || own.seen().len() == 2 + ADMITTED);
    assert!(other.seen().is_empty());
    let _sixth = send(ADMITTED);
    eventually("the second choice serves it", || other.seen().len() == 1);
}

/// The end of a request that tells the slowness of its upstream must release the slot.
#[test]
fn verify_slots_of_slow_upstreams_are_released() {
    // One of the instances coordinates the upstream; the other one sends it datagrams.
    for number in 0..2 {
        let (_fleet, instances, upstream) = fleet_with_a_silent_upstream();
        upstream.always(Behaviour::SUCCESS);
        upstream.state("slowness: 250\r\n");
        // Without an end, no service time is known, and a grant lasts as long as its request may.
        let time_limits = [""; ADMITTED].into_iter().chain(["time-left-ms: 5000\r\n"]);
        for time_limit in time_limits {
            let response = instances[number].get("/safe/", &format!("request: r\r\n{time_limit}"));
            assert_eq!(response.head.status, 200);
        }
    }
}
