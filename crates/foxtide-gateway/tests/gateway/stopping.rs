//! Tests that a graceful stop answers every request that it reads.

use crate::support::{
    Behaviour,
    CallError,
    Caller,
    FakeCoordinator,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::routing::Route;
use foxtide_http::WholeResponse;
use std::sync::mpsc::{
    Receiver,
    channel, //
};
use std::time::Duration;

/// A time limit of routes that no stop of a test outlasts.
const PATIENCE: Duration = Duration::from_secs(60);

/// Returns a fleet whose requests may outlast a stop.
fn patient_fleet() -> Fleet {
    let fleet = Fleet::new();
    let patient = |name, is_idempotent| Route {
        timeout: PATIENCE,
        ..route(name, is_idempotent)
    };
    fleet.configure(2, vec![patient("safe", true), patient("once", false)]);
    fleet
}

/// How long a reply may take to be read once the process has ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a request on a route of the fleet.
fn request_on(route: &str) -> String {
    format!("GET /{route}/ HTTP/1.1\r\nhost: a.example\r\nrequest: {route}\r\n\r\n")
}

/// Reads the replies to requests that were sent.
fn read_beside(callers: Vec<Caller>) -> Receiver<WholeResponse> {
    let (answered, answers) = channel();
    for mut caller in callers {
        let answered = answered.clone();
        std::thread::spawn(move || answered.send(caller.read()));
    }
    answers
}

/// Stops an instance and returns the replies that were sent before it ended.
fn replies_of_stop(instance: Instance, callers: Vec<Caller>) -> Vec<WholeResponse> {
    let count = callers.len();
    let answers = read_beside(callers);
    let mut instance = instance;
    instance.stop();
    let next = |_| {
        let answer = answers.recv_timeout(REPLY_TIMEOUT);
        answer.expect("each request is answered before the process ends")
    };
    (0..count).map(next).collect()
}

/// Sends a request that its upstream answers after `time`, and waits until it arrives.
fn send_slow_request(instance: &Instance, upstream: &FakeUpstream, time: Duration) -> Caller {
    upstream.next(Behaviour::Respond(200, "late", time));
    let mut caller = Caller::connect(instance.address());
    caller.send("GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
    eventually("the request arrives", || upstream.seen().len() == 1);
    caller
}

#[test]
fn verify_a_stop_drains_requests_and_leaves_the_directory() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let peer = fleet.instance("edge-1", "khomas-a");
    let mut instance = fleet.instance("edge-2", "khomas-a");
    let listed = |count: usize| {
        let body = peer.get("/lookup?region=khomas", "").body;
        String::from_utf8_lossy(&body).matches(':').count() == count
    };
    eventually("both are listed", || listed(2));
    let mut caller = send_slow_request(&instance, &upstream, Duration::from_millis(1_500));
    let address = instance.address();
    let stopping = std::thread::spawn(move || {
        instance.stop();
        instance
    });
    eventually("the directory drops it", || listed(1));
    assert_eq!(Caller::connect(address).get("/ready", "").head.status, 503);
    let response = caller.read();
    assert_eq!(response.body, b"late");
    assert!(response.head.close);
    stopping.join().unwrap();
}

/// Guards against losing a request that races with the close of an idle connection: it has
/// to be reset unread.
#[test]
fn verify_a_stop_reads_nothing_that_it_does_not_answer() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let mut instance = fleet.instance("edge-1", "khomas-a");
    let mut callers: Vec<Caller> = (0..20)
        .map(|_| Caller::connect(instance.address()))
        .collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        let response = caller.get("/safe/", &format!("request: before-{number}\r\n"));
        assert_eq!(response.head.status, 200);
    }
    let stopping = std::thread::spawn(move || instance.stop());
    // Each caller sends at a different time around the close of its connection.
    for (number, caller) in callers.iter_mut().enumerate() {
        std::thread::sleep(Duration::from_millis(60));
        let request = format!("request: crossing-{number}\r\n");
        let answered = caller.try_get("/once/", &request);
        let runs = upstream
            .seen()
            .iter()
            .filter(|seen| seen.request == format!("crossing-{number}"))
            .count();
        assert_eq!(
            runs,
            usize::from(answered.is_ok()),
            "{number}: {answered:?}"
        );
        if let Err(error) = answered {
            assert_eq!(error, CallError::Reset, "{number}");
        }
    }
    stopping.join().unwrap();
}

/// Guards against refusing callers that looked up instances before the stop.
#[test]
fn verify_a_connection_made_late_in_a_stop_gets_its_first_answer() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let mut instance = fleet.instance("edge-1", "khomas-a");
    let address = instance.address();
    // A slow request keeps the instance running.
    upstream.next(Behaviour::Respond(
        200,
        "late",
        Duration::from_millis(2_000),
    ));
    let mut slow_caller = Caller::connect(address);
    slow_caller.send("GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
    eventually("the request arrives", || upstream.seen().len() == 1);
    let mut idle = Caller::connect(address);
    assert_eq!(idle.get("/safe/", "request: r-2\r\n").head.status, 200);
    let stopping = std::thread::spawn(move || instance.stop());
    assert!(idle.is_ended(), "idle connections are closed");
    let mut late = Caller::connect(address);
    std::thread::sleep(Duration::from_millis(30));
    let response = late.get("/safe/", "request: r-3\r\n");
    assert_eq!(response.head.status, 200);
    assert!(response.head.close);
    assert_eq!(slow_caller.read().body, b"late");
    stopping.join().unwrap();
}

/// Guards against requests that are accepted late in a stop and outlast the process.
#[test]
fn verify_a_request_that_could_not_end_before_the_stop_does_is_refused() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let mut instance = fleet.instance("edge-1", "khomas-a");
    let address = instance.address();
    upstream.next(Behaviour::Respond(
        200,
        "late",
        Duration::from_millis(2_500),
    ));
    let mut slow_caller = Caller::connect(address);
    slow_caller.send("GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
    eventually("the request arrives", || upstream.seen().len() == 1);
    let stopping = std::thread::spawn(move || instance.stop());
    // The route's timeout is 5 s, the grace time 3 s.
    let is_refused = || {
        let response = Caller::connect(address).get("/once/", "request: r-2\r\n");
        response.head.status == 503 && response.head.lines.get("retry-after").is_some()
    };
    eventually("late requests are refused", is_refused);
    let seen = upstream.seen().len();
    let response = Caller::connect(address).get("/once/", "request: r-3\r\n");
    assert_eq!(response.head.status, 503);
    assert_eq!(upstream.seen().len(), seen);
    drop(slow_caller);
    stopping.join().unwrap();
}

/// Guards against ending the process while a request is in flight that arrived after the
/// drain, during the handover of neighbours' records.
#[test]
fn verify_a_request_that_arrives_during_the_handover_of_records_is_answered() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let mut instance = fleet.instance("edge-1", "khomas-a");
    let neighbour = fleet.instance("edge-2", "khomas-a");
    neighbour.wait_for_members(2);
    neighbour.store.set_rejected(true);
    fleet.store.expire_lease("edge-2");
    eventually("the instance registers its neighbour", || {
        let registrar = fleet.store.registrars().remove("edge-2").flatten();
        registrar.as_deref() == Some("edge-1")
    });
    let address = instance.address();
    let mut idle = Caller::connect(address);
    assert_eq!(idle.get("/safe/", "request: r-1\r\n").head.status, 200);
    // The process ends once the stop returns.
    let stopping = std::thread::spawn(move || instance.stop());
    assert!(idle.is_ended(), "idle connections are closed");
    let time = Duration::from_millis(1_400);
    upstream.next(Behaviour::Respond(200, "late", time));
    let (answered, answers) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let response = Caller::connect(address).get("/once/", "request: r-2\r\n");
        answered.send(response.body)
    });
    stopping.join().unwrap();
    let body = answers.recv_timeout(Duration::from_secs(5));
    assert_eq!(body.expect("the request is answered"), b"late");
}

/// Guards against closing the connections of requests that wait for a slot when the grace time
/// ends: they have not run, and another instance takes them.
#[test]
fn verify_a_stop_answers_requests_that_wait_for_a_slot() {
    let fleet = patient_fleet();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    let coordinator = FakeCoordinator::join(&fleet, "i-1", "edge-1");
    instance.wait_for_members(2);
    let callers: Vec<Caller> = ["safe", "once"]
        .into_iter()
        .map(|route| {
            let asked = coordinator.asks().len();
            let mut caller = Caller::connect(instance.address());
            caller.send(&request_on(route));
            coordinator.answer(coordinator.ask_after(asked), false);
            caller
        })
        .collect();
    for response in replies_of_stop(instance, callers) {
        assert_eq!(response.head.status, 503);
        assert!(response.head.lines.get("retry-after").is_some());
        assert!(response.head.close);
    }
    assert!(upstream.seen().is_empty(), "a refused request has not run");
}

/// Guards against refusing requests that can be served before the process ends: callers retry few
/// times.
#[test]
fn verify_a_stop_serves_a_request_that_gets_a_slot_in_time() {
    let fleet = patient_fleet();
    let _upstream = fleet.upstream("i-1", "khomas-a");
    // The grant comes within 0.45 of the grace time, also on a busy machine.
    let mut instance = fleet.instance_with("edge-1", "khomas-a", |options| {
        options.bounds.grace = Duration::from_secs(12);
    });
    let coordinator = FakeCoordinator::join(&fleet, "i-1", "edge-1");
    instance.wait_for_members(2);
    let mut caller = Caller::connect(instance.address());
    caller.send("GET /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
    let number = coordinator.ask_after(0);
    coordinator.answer(number, false);
    let address = instance.address();
    let stopping = std::thread::spawn(move || instance.stop());
    eventually("the stop has begun", || {
        Caller::connect(address).get("/ready", "").head.status == 503
    });
    coordinator.answer(number, true);
    assert_eq!(caller.read().head.status, 200);
    stopping.join().unwrap();
}

/// Guards against closing the connections of requests that their upstreams still work on when the
/// grace time ends: their callers learn that they may have run.
#[test]
fn verify_a_stop_answers_requests_that_it_cuts() {
    let fleet = patient_fleet();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    upstream.always(Behaviour::Silent);
    let callers: Vec<Caller> = ["safe", "once"]
        .into_iter()
        .map(|route| {
            let mut caller = Caller::connect(instance.address());
            caller.send(&request_on(route));
            caller
        })
        .collect();
    eventually("the requests arrive", || upstream.seen().len() == 2);
    for response in replies_of_stop(instance, callers) {
        assert_eq!(response.head.status, 502);
        assert!(response.head.close);
    }
    assert_eq!(upstream.seen().len(), 2, "no request is sent once more");
}

/// Guards against closing the connection of a request that has not arrived in full when the
/// process ends.
#[test]
fn verify_a_stop_refuses_a_request_that_is_still_arriving() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    let mut caller = Caller::connect(instance.address());
    let head = "POST /once/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\ncontent-length: 9\r\n";
    caller.send(&format!("{head}\r\nhalf"));
    for response in replies_of_stop(instance, vec![caller]) {
        assert_eq!(response.head.status, 503);
        assert!(response.head.lines.get("retry-after").is_some());
    }
    assert!(upstream.seen().is_empty());
}
