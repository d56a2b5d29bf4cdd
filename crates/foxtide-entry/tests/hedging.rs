//! Hedged attempts.

mod support;

use std::io::{
    Read,
    Write, //
};
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::mpsc::channel;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;
use support::{
    Harness,
    RawUpstream,
    prioritise_latency,
    read_message, //
};

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

#[test]
fn verify_the_faster_of_two_attempts_answers_and_the_other_is_cancelled() {
    let (cancelled, wait_cancelled) = channel();
    let cancelled = Mutex::new(cancelled);
    let hangs = Arc::new(AtomicBool::new(true));
    // Only the first request to arrive at either upstream gets no answer.
    let serve = move |mut stream: std::net::TcpStream, _| {
        while read_message(&mut stream).is_some() {
            if hangs.swap(false, Ordering::SeqCst) {
                let end = stream.read(&mut [0]);
                let ended = matches!(end, Ok(0) | Err(_));
                cancelled.lock().unwrap().send(ended).unwrap();
                return;
            }
            stream.write_all(HELLO).unwrap();
        }
    };
    let serve = Arc::new(serve);
    let serve_second = Arc::clone(&serve);
    let first = RawUpstream::start(move |stream, number| serve(stream, number));
    let second = RawUpstream::start(move |stream, number| serve_second(stream, number));
    let harness = Harness::start_changed(&[first.address, second.address], prioritise_latency);
    let answer = harness.caller().request(&support::get("/slots"));
    assert!(answer.ends_with("hello"), "{answer}");
    assert!(
        wait_cancelled
            .recv_timeout(Duration::from_secs(10))
            .unwrap()
    );
}
