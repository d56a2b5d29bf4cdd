//! Rate limits that upstreams state.

mod support;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};
use support::{
    Harness,
    RawUpstream,
    assert_refused,
    read_message, //
};

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

const LIMITED: &[u8] =
    b"HTTP/1.1 200 OK\r\nfoxtide-rate-limit: 0.5\r\ncontent-length: 5\r\n\r\nhello";

/// The limit in [`LIMITED`], in requests per second.
const LIMIT_RPS: f64 = 0.5;

/// Starts an upstream that gives this answer; returns it with its number of requests.
fn upstream(answer: &'static [u8]) -> (RawUpstream, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    let upstream = RawUpstream::start(move |mut stream, _| {
        while read_message(&mut stream).is_some() {
            seen.fetch_add(1, Ordering::SeqCst);
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    });
    (upstream, count)
}

/// Returns the requests that the upstream accepts in `time`, and those of a window of 4 s more.
fn accepted_in(time: Duration) -> usize {
    (1.5 * LIMIT_RPS * (time.as_secs_f64() + 4.0) + 5.0) as usize
}

/// Guards against an upstream that is overrun by an instance to which it has stated its limit.
#[test]
fn verify_a_stated_rate_limit_is_kept() {
    let (limited, seen) = upstream(LIMITED);
    let (other, _) = upstream(HELLO);
    let harness = Harness::start(&[limited.address, other.address]);
    let began_at = Instant::now();
    for _ in 0..60 {
        let answer = harness.caller().request(&support::get("/slots"));
        assert!(answer.ends_with("hello"), "{answer}");
    }
    let accepted = accepted_in(began_at.elapsed());
    let arrived = seen.load(Ordering::SeqCst);
    assert!(arrived <= accepted, "{arrived} of {accepted}");
}

/// Guards against requests that wait for their deadline although the upstream's rate limit
/// leaves them nothing.
#[test]
fn verify_a_request_beyond_the_only_rate_limit_is_refused_with_a_retry_time() {
    let (limited, _seen) = upstream(LIMITED);
    let harness = Harness::start(&[limited.address]);
    let mut answers = (0..20).map(|_| harness.caller().request(&support::get("/slots")));
    let refused = answers
        .find(|answer| !answer.ends_with("hello"))
        .expect("a request is refused");
    assert_refused(&refused, 503, "not-run");
    assert!(refused.contains("rate-limited"), "{refused}");
    assert!(refused.contains("retry-after: "), "{refused}");
}
