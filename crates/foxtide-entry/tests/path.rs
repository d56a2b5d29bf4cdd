//! Look-ups, requests and admin pages without failures.

mod support;

use foxtide_core::events::EventCode;
use foxtide_entry::{
    DrainOptions,
    EntryOptions,
    PoolOptions, //
};
use std::io::Write;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::channel;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::Duration;
use support::{
    Harness,
    RawUpstream,
    assert_refused,
    get,
    post,
    read_message,
    wait_until,
    with_second_region, //
};

const HELLO: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-kept: 1\r\n\r\nhello";

#[test]
fn verify_lookup_names_instances_ttl_and_revision() {
    let harness = Harness::start(&[]);
    let mut caller = harness.caller();
    let answer = caller.request(
        "GET /v1/lookup?organisation=hamutenya&service=viewer HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains(r#""instance":"entry-1""#), "{answer}");
    for owner in ["entry-1.0000000000000007", "entry-2.00000000000000aa"] {
        let expected = format!(r#""owner":"{owner}""#);
        assert!(answer.contains(&expected), "{answer}");
    }
    assert!(answer.contains(r#""ttl_s":5,"revision":7"#), "{answer}");
}

#[test]
fn verify_a_request_reaches_the_upstream_and_back() {
    let (sender, seen) = std::sync::mpsc::channel();
    let upstream = RawUpstream::start(move |mut stream, _| {
        while let Some(request) = read_message(&mut stream) {
            sender.send(request).unwrap();
            stream.write_all(HELLO).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let mut caller = harness.caller();
    let answer = caller.request(
        "GET /hamutenya/viewer/maps/7?x=1 HTTP/1.1\r\nhost: x\r\nconnection: x-hop\r\n\
         x-hop: 1\r\nte: trailers\r\nx-kept: 1\r\nfoxtide-request-id: r-1\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
    assert!(answer.contains("x-kept: 1\r\n"), "{answer}");
    let request = seen.recv().unwrap();
    assert!(
        request.starts_with("GET /maps/7?x=1 HTTP/1.1\r\n"),
        "{request}"
    );
    assert!(request.contains("x-kept: 1\r\n"), "{request}");
    assert!(request.contains("foxtide-request-id: r-1\r\n"), "{request}");
    assert!(request.contains("foxtide-deadline-ms: "), "{request}");
    assert!(!request.contains("x-hop"), "{request}");
    assert!(!request.contains("te: trailers"), "{request}");
}

#[test]
fn verify_connections_are_reused_on_both_sides() {
    let upstream = RawUpstream::answering(HELLO);
    let harness = Harness::start(&[upstream.address]);
    let mut caller = harness.caller();
    for _ in 0..10 {
        caller.request(&post("/notes", "text"));
    }
    let connections = upstream
        .connections
        .load(std::sync::atomic::Ordering::SeqCst);
    assert_eq!(connections, 1);
    assert_eq!(harness.entry.connections(), 1);
}

#[test]
fn verify_pipelined_requests_are_answered_in_order() {
    let upstream = RawUpstream::start(|mut stream, _| {
        while let Some(request) = read_message(&mut stream) {
            let path = request.split(' ').nth(1).unwrap().to_owned();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", path.len());
            stream.write_all((head + &path).as_bytes()).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let mut caller = harness.caller();
    caller.send(&(post("/a", "body-of-a") + &get("/b")));
    let mut answers = caller.answer().unwrap();
    if !answers.contains("/b") {
        answers += &caller.answer().unwrap();
    }
    assert!(answers.find("/a").unwrap() < answers.find("/b").unwrap());
}

#[test]
fn verify_chunked_answers_arrive_complete() {
    let upstream = RawUpstream::start(|mut stream, _| {
        while read_message(&mut stream).is_some() {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfoxt\r\n3\r";
            stream.write_all(head.as_bytes()).unwrap();
            // Sends the end byte by byte, so that it is split everywhere.
            for byte in b"\nide\r\n0\r\n\r\n" {
                stream.write_all(&[*byte]).unwrap();
            }
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let mut caller = harness.caller();
    for _ in 0..2 {
        assert!(caller.request(&get("/")).ends_with("\r\n\r\nfoxtide"));
    }
}

#[test]
fn verify_head_requests_keep_the_stated_length() {
    let upstream = RawUpstream::answering(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    let harness = Harness::start(&[upstream.address]);
    let answer = harness
        .caller()
        .request("HEAD /hamutenya/viewer/x HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(answer.contains("content-length: 0\r\n"), "{answer}");
}

#[test]
fn verify_admin_pages_are_not_served_to_callers() {
    let harness = Harness::start(&[]);
    for path in ["/healthz", "/readyz", "/metrics"] {
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
        let answer = harness.operator().request(&request);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_refused(&harness.caller().request(&request), 404, "not-run");
    }
}

#[test]
fn verify_a_bound_listener_serves_no_other_organisation() {
    let upstream = RawUpstream::answering(HELLO);
    let options = EntryOptions {
        organisations: vec!["kluisdepot".parse().unwrap()],
        ..EntryOptions::default()
    };
    let harness = Harness::start_with(&[upstream.address], options);
    let mut caller = harness.caller();
    assert_refused(&caller.request(&get("/")), 404, "not-run");
    let lookup = "GET /v1/lookup?organisation=hamutenya&service=viewer HTTP/1.1\r\nhost: x\r\n\r\n";
    assert_refused(&caller.request(lookup), 404, "not-run");
}

#[test]
fn verify_drain_serves_until_lookups_expired_and_cuts_nothing() {
    let upstream = RawUpstream::answering(HELLO);
    let options = EntryOptions {
        lookup_ttl: std::time::Duration::from_millis(200),
        drain: foxtide_entry::DrainOptions {
            margin: std::time::Duration::ZERO,
            ..foxtide_entry::DrainOptions::default()
        },
        ..EntryOptions::default()
    };
    let harness = Harness::start_with(&[upstream.address], options);
    let mut idle = harness.caller();
    assert!(idle.request(&get("/")).contains("hello"));
    let entry = Arc::clone(&harness.entry);
    let drained = harness.workers.spawn(async move { entry.drain().await });
    support::wait_until("the drain", || {
        !harness.recorded(EventCode::ProcessStopping).is_empty()
    });
    let ready = harness
        .operator()
        .request("GET /readyz HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(ready.starts_with("HTTP/1.1 503 "), "{ready}");
    // A caller with a cached look-up is served and told to close.
    let late = harness.caller().request(&get("/"));
    assert!(late.contains("connection: close\r\n"), "{late}");
    smol::block_on(drained);
    assert!(idle.is_closed());
    assert_eq!(harness.entry.connections(), 0);
}

#[test]
fn verify_drain_waits_for_what_is_in_flight() {
    let (asked, wait_asked) = channel();
    let (release, released) = channel::<()>();
    let (asked, released) = (Mutex::new(asked), Mutex::new(released));
    let upstream = RawUpstream::start(move |mut stream, _| {
        read_message(&mut stream);
        asked.lock().unwrap().send(()).unwrap();
        let _ = released.lock().unwrap().recv();
        stream.write_all(HELLO).unwrap();
    });
    let options = EntryOptions {
        lookup_ttl: Duration::ZERO,
        drain: DrainOptions {
            margin: Duration::ZERO,
            ..DrainOptions::default()
        },
        ..EntryOptions::default()
    };
    let harness = Harness::start_with(&[upstream.address], options);
    let mut caller = harness.caller();
    caller.send(&post("/notices", "x"));
    wait_asked.recv().unwrap();
    let entry = Arc::clone(&harness.entry);
    let drained = harness.workers.spawn(async move { entry.drain().await });
    support::wait_until("the end of look-ups", || harness.deps.has_left.load(SeqCst));
    assert!(!drained.is_finished());
    drop(release);
    let answer = caller.answer().expect("the answer is not cut");
    assert!(answer.ends_with("hello"), "{answer}");
    assert!(answer.contains("connection: close\r\n"), "{answer}");
    smol::block_on(drained);
}

#[test]
fn verify_callers_of_another_region_stay_where_that_region_sends_them() {
    const NEAR: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnear";
    const FAR: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nfar";
    let (near, far) = (RawUpstream::answering(NEAR), RawUpstream::answering(FAR));
    let harness = Harness::start_changed(&[near.address, far.address], with_second_region);
    let answer = harness.caller().request(&get("/hamutenya/viewer/1"));
    assert!(answer.ends_with("near"), "{answer}");
    *harness.deps.origin.lock().unwrap() = Some("erongo".parse().unwrap());
    wait_until("the other region's row is known", || {
        let answer = harness.caller().request(&get("/hamutenya/viewer/2"));
        assert!(!answer.ends_with("near"), "{answer}");
        answer.ends_with("far")
    });
}

#[test]
fn verify_upstreams_are_reached_from_the_address_that_is_set() {
    let (sender, seen) = std::sync::mpsc::channel();
    let upstream = RawUpstream::start(move |mut stream, _| {
        while read_message(&mut stream).is_some() {
            sender.send(stream.peer_addr().unwrap().ip()).unwrap();
            stream.write_all(HELLO).unwrap();
        }
    });
    let source = "127.0.0.9".parse().unwrap();
    let options = EntryOptions {
        pool: PoolOptions {
            source: Some(source),
            ..PoolOptions::default()
        },
        ..EntryOptions::default()
    };
    let harness = Harness::start_with(&[upstream.address], options);
    let answer = harness.caller().request(&get("/hamutenya/viewer/1"));
    assert!(answer.ends_with("hello"), "{answer}");
    assert_eq!(seen.recv().unwrap(), source);
}
