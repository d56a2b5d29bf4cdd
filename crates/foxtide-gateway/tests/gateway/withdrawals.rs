//! Upstreams that state in a response that they want no more requests.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use foxtide_core::registry::{
    Registration,
    UpstreamState, //
};
use foxtide_gateway::Fact;
use std::time::Duration;

/// A rest that no test outlasts.
const LONG_REST: &str = "retry-after: 60\r\n";

const DRAINING: &str = "draining: true\r\n";

/// Sends `count` requests for different objects through the instances in turn; returns how many
/// had success.
fn send(instances: &[&Instance], path: &str, count: usize) -> usize {
    let send = |number: &usize| {
        let lines = format!("request: r-{number}\r\nobject: {number}\r\n");
        let instance = instances[number % instances.len()];
        instance.get(path, &lines).head.status == 200
    };
    (0..count).filter(send).count()
}

/// Makes an upstream reject all requests and ask for rest.
fn ask_for_rest(upstream: &FakeUpstream, line: &str) {
    upstream.always(Behaviour::Full);
    upstream.state(line);
}

/// Guards against requests to an upstream that has asked the instance for rest.
#[test]
fn verify_a_resting_upstream_gets_no_requests() {
    for path in ["/safe/", "/once/"] {
        let fleet = Fleet::new();
        let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
        let near = fleet.instance("edge-1", "khomas-a");
        let far = fleet.instance("edge-2", "erongo-a");
        near.wait_for_members_of("erongo", 1);
        far.wait_for_members_of("khomas", 1);
        ask_for_rest(&upstreams[0], LONG_REST);
        // The rest binds the instances that were asked, each after one request.
        assert_eq!(send(&[&near, &far], path, 80), 80);
        assert_eq!(upstreams[0].seen().len(), 2, "{path}");
    }
}

/// Guards against a request that was waiting for a slot when the upstream asked for rest.
#[test]
fn verify_a_waiting_request_is_not_sent_to_a_resting_upstream() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instances = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
    for instance in &instances {
        instance.wait_for_members(2);
    }
    upstream.state(LONG_REST);
    upstream.always(Behaviour::FullAfter(Duration::from_millis(300)));
    let send = |number: usize| {
        let mut caller = Caller::connect(instances[0].address());
        caller.send(&format!(
            "GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-{number}\r\n\r\n"
        ));
        caller
    };
    let callers: Vec<Caller> = (0..20).map(send).collect();
    for mut caller in callers {
        assert_eq!(caller.read().head.status, 503);
    }
    // Four in slots, and one that waits at the upstream.
    assert!(upstream.seen().len() <= 5, "{}", upstream.seen().len());
}

/// Guards against requests that are held, or come back too early, while all upstreams rest.
#[test]
fn verify_requests_are_rejected_at_once_while_all_upstreams_rest() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
    let instance = fleet.instance("edge-1", "khomas-a");
    for upstream in &upstreams {
        ask_for_rest(upstream, LONG_REST);
    }
    send(&[&instance], "/safe/", 20);
    let before: Vec<usize> = upstreams.iter().map(|one| one.seen().len()).collect();
    let response = instance.get("/safe/", "request: r\r\ntime-left-ms: 300000\r\n");
    assert_eq!(response.head.status, 503);
    let retry_after = response.head.lines.text("retry-after").unwrap();
    assert!(retry_after.parse::<f64>().unwrap() > 10.0, "{retry_after}");
    let after: Vec<usize> = upstreams.iter().map(|one| one.seen().len()).collect();
    assert_eq!(before, after);
}

/// Guards against a rest that never ends.
#[test]
fn verify_an_upstream_gets_requests_after_its_rest() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    ask_for_rest(&upstream, "retry-after: 0.3\r\n");
    send(&[&instance], "/safe/", 1);
    upstream.always(Behaviour::SUCCESS);
    upstream.state("");
    eventually("it serves again", || send(&[&instance], "/safe/", 1) == 1);
}

/// Guards against requests to an upstream that has told the instance that it is leaving.
#[test]
fn verify_an_upstream_that_states_a_drain_gets_no_more_requests() {
    for path in ["/safe/", "/once/"] {
        let fleet = Fleet::new();
        let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
        let near = fleet.instance("edge-1", "khomas-a");
        let far = fleet.instance("edge-2", "erongo-a");
        near.wait_for_members_of("erongo", 1);
        far.wait_for_members_of("khomas", 1);
        upstreams[0].state(DRAINING);
        assert_eq!(send(&[&near, &far], path, 80), 80);
        assert_eq!(upstreams[0].seen().len(), 2, "{path}");
    }
}

/// Guards against a stated drain that is undone by a registration that still says ready.
#[test]
fn verify_a_registration_does_not_undo_a_stated_drain() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
    let instance = fleet.instance("edge-1", "khomas-a");
    upstreams[0].state(DRAINING);
    send(&[&instance], "/safe/", 40);
    upstreams[0].state("");
    let registered = |state: UpstreamState, slots: u32| {
        Fact::Registered(Registration {
            state,
            slots,
            ..upstreams[0].registration()
        })
    };
    let key = upstreams[0].key();
    fleet.store.put(&key, registered(UpstreamState::Ready, 8));
    fleet.store.remove(&key);
    fleet.store.put(&key, registered(UpstreamState::Ready, 4));
    // A later upstream shows that the changes have been applied.
    let later = fleet.upstream("i-3", "khomas-a");
    eventually("the changes are applied", || {
        send(&[&instance], "/safe/", 8);
        !later.seen().is_empty()
    });
    send(&[&instance], "/safe/", 40);
    assert_eq!(upstreams[0].seen().len(), 1);
}

/// Guards against a service without a defined answer while all its upstreams are leaving.
#[test]
fn verify_requests_are_rejected_at_once_while_all_upstreams_drain() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    upstream.state(DRAINING);
    assert_eq!(send(&[&instance], "/safe/", 1), 1);
    let response = instance.get("/safe/", "request: r\r\ntime-left-ms: 300000\r\n");
    assert_eq!(response.head.status, 503);
    assert!(response.head.lines.get("retry-after").is_some());
    assert_eq!(upstream.seen().len(), 1);
}

/// Guards against a statement that is missed because of the response that carries it: an error, a
/// cut or unframed one, an interim one, or one whose caller has left.
#[test]
fn verify_a_drain_counts_in_any_response() {
    let slow = Duration::from_millis(200);
    for behaviour in [
        Behaviour::Respond(500, "failed", Duration::ZERO),
        Behaviour::Respond(404, "none", Duration::ZERO),
        Behaviour::Full,
        Behaviour::Cut,
        Behaviour::Unframed,
        Behaviour::Interim,
        Behaviour::Respond(200, "fine", slow),
    ] {
        let fleet = Fleet::new();
        let upstream = fleet.upstream("i-1", "khomas-a");
        let instance = fleet.instance("edge-1", "khomas-a");
        upstream.state(DRAINING);
        upstream.always(behaviour.clone());
        let mut caller = Caller::connect(instance.address());
        caller.send("GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: first\r\n\r\n");
        eventually("the request arrives", || upstream.seen().len() == 1);
        // Work that is not idempotent goes on after its caller has left.
        drop(caller);
        std::thread::sleep(slow * 2);
        let response = instance.get("/safe/", "request: second\r\n");
        assert_eq!(response.head.status, 503, "{behaviour:?}");
        assert_eq!(upstream.seen().len(), 1, "{behaviour:?}");
    }
}
