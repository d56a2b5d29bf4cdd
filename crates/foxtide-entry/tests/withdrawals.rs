//! Upstreams that state in an answer that they want no more requests.

mod support;

use std::io::{
    Read,
    Write, //
};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use support::{
    Caller,
    Harness,
    RawUpstream,
    assert_refused,
    read_message, //
};

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

const REST: &[u8] = b"HTTP/1.1 503 x\r\nfoxtide-outcome: not-run\r\nretry-after: 60\r\n\
                      content-length: 0\r\n\r\n";

/// The head of an answer that is too long to be held whole.
const LONG_DRAIN: &[u8] = b"HTTP/1.1 200 OK\r\nfoxtide-upstream-state: draining\r\n\
                            content-length: 4000000\r\n\r\nhello";

const LONG: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000\r\n\r\nhello";

/// Starts an upstream that answers with `answer` and then calls `after`; returns it with its
/// number of requests other than polls.
fn upstream(
    answer: &'static [u8],
    after: impl Fn(&TcpStream) + Send + Sync + 'static,
) -> (RawUpstream, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    let upstream = RawUpstream::start(move |mut stream, _| {
        while let Some(message) = read_message(&mut stream) {
            if !message.starts_with("GET /load") {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            if stream.write_all(answer).is_err() {
                return;
            }
            after(&stream);
        }
    });
    (upstream, count)
}

/// Reads the head of an answer.
fn read_answer_head(caller: &mut Caller) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        caller.stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
    String::from_utf8(head).unwrap()
}

/// Guards against requests to an upstream that has asked the instance for rest.
#[test]
fn verify_a_resting_upstream_is_left_alone() {
    let (resting, seen) = upstream(REST, |_| {});
    let (other, _) = upstream(HELLO, |_| {});
    let harness = Harness::start(&[resting.address, other.address]);
    for _ in 0..60 {
        let answer = harness.caller().request(&support::get("/slots"));
        assert!(answer.ends_with("hello"), "{answer}");
    }
    assert!(seen.load(Ordering::SeqCst) <= 1);
}

/// Guards against requests that wait for their deadline while all upstreams rest.
#[test]
fn verify_requests_are_refused_while_all_upstreams_rest() {
    let (resting, seen) = upstream(REST, |_| {});
    let harness = Harness::start(&[resting.address]);
    for _ in 0..2 {
        let answer = harness.caller().request(&support::get("/slots"));
        assert_refused(&answer, 503, "not-run");
        assert!(!answer.contains("retry-after: 1\r\n"), "{answer}");
    }
    assert_eq!(seen.load(Ordering::SeqCst), 1);
}

/// Guards against a drain that counts only once a long answer has ended.
#[test]
fn verify_a_drain_counts_from_the_head_of_a_long_answer() {
    let (draining, seen) = upstream(LONG_DRAIN, |_| std::thread::park());
    let (other, _) = upstream(LONG, |_| std::thread::park());
    let harness = Harness::start(&[draining.address, other.address]);
    // Each answer keeps a slot taken, so that without the drain both get requests.
    let mut callers = Vec::new();
    let mut send = || {
        let mut caller = harness.caller();
        caller.send(&support::get("/slots"));
        let head = read_answer_head(&mut caller);
        callers.push(caller);
        head
    };
    while !send().contains("content-length: 4000000") {}
    for _ in 0..3 {
        assert!(send().contains("content-length: 3000000"));
    }
    assert_eq!(seen.load(Ordering::SeqCst), 1);
}
