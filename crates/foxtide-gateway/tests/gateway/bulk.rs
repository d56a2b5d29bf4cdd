//! Large responses on the instance's own link.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use foxtide_http::WholeResponse;
use socket2::{
    Domain,
    Socket,
    Type, //
};
use std::io::{
    ErrorKind,
    Read,
    Write, //
};
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

/// At 1 Mbit/s such a response takes longer than the grace time of a stop.
const LARGE_BYTES: usize = 1_000_000;

/// How long a test waits for the rest of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn fleet(link_mbps: u32) -> (Fleet, FakeUpstream, Instance) {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance_with("edge-1", "khomas-a", |options| {
        options.link_mbps = link_mbps;
    });
    (fleet, upstream, instance)
}

/// Makes the upstream's next response large.
fn respond_at_length(upstream: &FakeUpstream) {
    let body = String::leak("x".repeat(LARGE_BYTES));
    upstream.next(Behaviour::Respond(200, body, Duration::ZERO));
}

/// Sends a request whose response is large, and reads the response in a thread.
fn download(instance: &Instance, upstream: &FakeUpstream) -> JoinHandle<WholeResponse> {
    let before = upstream.seen().len();
    respond_at_length(upstream);
    let mut caller = Caller::connect(instance.address());
    caller.send("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: large\r\n\r\n");
    eventually("the request arrives", || upstream.seen().len() > before);
    std::thread::spawn(move || caller.read())
}

/// Guards against small responses behind a large one, and against a stop that cuts a large one
/// that waits for the link.
#[test]
fn verify_small_responses_pass_large_ones_and_a_stop_does_not_wait_for_the_link() {
    let (_fleet, upstream, mut instance) = fleet(1);
    respond_at_length(&upstream);
    let mut caller = TcpStream::connect(instance.address()).unwrap();
    let request = "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: large\r\n\r\n";
    caller.write_all(request.as_bytes()).unwrap();
    let mut received = vec![0; 1_024];
    caller.read_exact(&mut received).unwrap();
    let small = instance.get("/safe/", "request: small\r\n");
    assert_eq!(small.body, b"fine");
    caller.set_nonblocking(true).unwrap();
    let read = caller.read_to_end(&mut received);
    assert_eq!(read.unwrap_err().kind(), ErrorKind::WouldBlock);
    assert!(received.len() < LARGE_BYTES);
    caller.set_nonblocking(false).unwrap();
    caller.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let rest = std::thread::spawn(move || {
        caller.read_to_end(&mut received).unwrap();
        received.len()
    });
    instance.stop();
    // The process ends.
    drop(instance);
    assert!(rest.join().unwrap() > LARGE_BYTES);
}

/// Guards against a caller that does not read and holds up the responses to others.
#[test]
fn verify_a_reader_that_stops_does_not_hold_up_others() {
    let (_fleet, upstream, instance) = fleet(200);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&instance.address().into()).unwrap();
    let mut stopped = TcpStream::from(socket);
    for number in 0..4 {
        respond_at_length(&upstream);
        let request =
            format!("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: {number}\r\n\r\n");
        stopped.write_all(request.as_bytes()).unwrap();
    }
    eventually("the first request arrives", || !upstream.seen().is_empty());
    for _ in 0..3 {
        let response = download(&instance, &upstream).join().unwrap();
        assert_eq!(response.body.len(), LARGE_BYTES);
    }
}

/// Guards against pacing where the bandwidth is not known: the response would never end.
#[test]
fn verify_an_unknown_link_is_not_paced() {
    let (_fleet, upstream, instance) = fleet(0);
    let response = download(&instance, &upstream).join().unwrap();
    assert_eq!(response.body.len(), LARGE_BYTES);
}
