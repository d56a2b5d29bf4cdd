//! Tests that a graceful stop answers every request that it reads.

use crate::support::{
    Behaviour,
    CallError,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use std::time::Duration;

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
