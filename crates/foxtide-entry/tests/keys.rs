//! Requests with an idempotency key.

mod support;

use foxtide_core::events::EventCode;
use foxtide_core::idempotency::IdempotencyKey;
use foxtide_core::time::WallTime;
use foxtide_entry::{
    DrainOptions,
    EntryOptions, //
};
use std::io::Write;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::mpsc::channel;
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};
use support::{
    Harness,
    RawUpstream,
    assert_refused,
    get,
    read_message,
    wait_until, //
};

const DONE: &[u8] = b"HTTP/1.1 201 Created\r\ncontent-length: 6\r\n\r\nfiled!";

fn key(owner: &str) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let now = WallTime::ZERO + since_epoch;
    IdempotencyKey::mint(owner.parse().unwrap(), now, [7; 10]).to_string()
}

fn post(path: &str, key: &str, body: &str) -> String {
    format!(
        "POST /hamutenya/viewer{path} HTTP/1.1\r\nhost: x\r\nidempotency-key: \"{key}\"\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn own_key(harness: &Harness) -> String {
    let answer = harness
        .caller()
        .request("GET /none HTTP/1.1\r\nhost: x\r\n\r\n");
    let owner = answer
        .lines()
        .find_map(|line| line.strip_prefix("foxtide-owner: "));
    key(owner.expect("each answer names the owner"))
}

#[test]
fn verify_a_key_runs_once_and_its_answer_is_replayed() {
    let (ran, runs) = channel();
    let upstream = RawUpstream::start(move |mut stream, _| {
        while read_message(&mut stream).is_some() {
            ran.send(()).unwrap();
            stream.write_all(DONE).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    let mut caller = harness.caller();
    let first = caller.request(&post("/notes", &key, "lintel"));
    assert!(first.ends_with("filed!"), "{first}");
    let again = harness.caller().request(&post("/notes", &key, "lintel"));
    assert!(again.starts_with("HTTP/1.1 201 "), "{again}");
    assert!(again.contains("foxtide-outcome: done\r\n"), "{again}");
    assert!(again.ends_with("filed!"), "{again}");
    assert_refused(
        &caller.request(&post("/notes", &key, "other")),
        422,
        "unknown",
    );
    assert_eq!(runs.try_iter().count(), 1);
}

#[test]
fn verify_a_key_whose_answer_was_lost_stays_unknown() {
    let upstream = RawUpstream::start(|mut stream, _| {
        read_message(&mut stream);
    });
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    for status in [502, 409] {
        let answer = harness.caller().request(&post("/notes", &key, "x"));
        assert_refused(&answer, status, "unknown");
    }
    assert_eq!(upstream.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn verify_a_key_that_did_not_run_can_be_tried_again() {
    let refusal = b"HTTP/1.1 503 Busy\r\nfoxtide-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    let has_room = Arc::new(AtomicBool::new(false));
    let upstream_has_room = Arc::clone(&has_room);
    let upstream = RawUpstream::start(move |mut stream, _| {
        while read_message(&mut stream).is_some() {
            let has_room = upstream_has_room.load(Ordering::SeqCst);
            let answer = if has_room { DONE } else { &refusal[..] };
            stream.write_all(answer).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    let refused = harness.caller().request(&post("/notes", &key, "x"));
    assert_refused(&refused, 503, "not-run");
    has_room.store(true, Ordering::SeqCst);
    let answer = harness.caller().request(&post("/notes", &key, "x"));
    assert!(answer.ends_with("filed!"), "{answer}");
}

#[test]
fn verify_keys_of_other_owners_never_run_here() {
    let upstream = RawUpstream::answering(DONE);
    let harness = Harness::start(&[upstream.address]);
    let foreign_key = key("entry-2.00000000000000aa");
    let answer = harness
        .caller()
        .request(&post("/notes?x=1", &foreign_key, "x"));
    assert_refused(&answer, 307, "unknown");
    assert!(
        answer.contains("/hamutenya/viewer/notes?x=1\r\n"),
        "{answer}"
    );
    // A leaving instance still answers for its keys.
    harness.deps.has_left.store(true, Ordering::SeqCst);
    let leaving = harness.caller().request(&post("/notes", &foreign_key, "x"));
    assert_refused(&leaving, 307, "unknown");
    let gone = key("entry-9.00000000000000aa");
    let earlier_process = key("entry-1.00000000000000aa");
    for key in [gone, earlier_process] {
        let answer = harness.caller().request(&post("/notes", &key, "x"));
        assert_refused(&answer, 409, "unknown");
    }
    let plain = "0196f0c1-0000-7000-8000-000000000001";
    let answer = harness.caller().request(&post("/notes", plain, "x"));
    assert_refused(&answer, 400, "not-run");
    let recorded = |code| harness.recorded(code).len();
    assert_eq!(recorded(EventCode::KeyRedirected), 2);
    assert_eq!(recorded(EventCode::KeyOwnerGone), 2);
    assert_eq!(recorded(EventCode::KeyMalformed), 1);
    assert_eq!(upstream.connections.load(Ordering::SeqCst), 0);
}

#[test]
fn verify_a_run_continues_without_its_caller_and_its_answer_is_stored() {
    let (ran, runs) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let upstream = RawUpstream::start(move |mut stream, _| {
        while read_message(&mut stream).is_some() {
            ran.send(()).unwrap();
            released.lock().unwrap().recv().unwrap();
            stream.write_all(DONE).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    let mut disconnected = harness.caller();
    disconnected.send(&post("/notes", &key, "lintel"));
    runs.recv().unwrap();
    drop(disconnected);
    wait_until("the disconnect to be recorded", || {
        !harness.recorded(EventCode::RequestCancelled).is_empty()
    });
    let meanwhile = harness.caller().request(&post("/notes", &key, "lintel"));
    assert_refused(&meanwhile, 409, "unknown");
    release.send(()).unwrap();
    wait_until("the stored answer", || {
        let again = harness.caller().request(&post("/notes", &key, "lintel"));
        again.contains("foxtide-outcome: done\r\n") && again.ends_with("filed!")
    });
    assert_eq!(runs.try_iter().count(), 0, "it ran once");
}

#[test]
fn verify_drain_waits_for_a_run_without_its_caller() {
    let (note, notes) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let ran = note.clone();
    let upstream = RawUpstream::start(move |mut stream, _| {
        read_message(&mut stream);
        ran.send("came").unwrap();
        released.lock().unwrap().recv().unwrap();
        ran.send("ran").unwrap();
        stream.write_all(DONE).unwrap();
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
    let mut disconnected = harness.caller();
    disconnected.send(&post("/notes", &own_key(&harness), "lintel"));
    assert_eq!(notes.recv(), Ok("came"));
    drop(disconnected);
    wait_until("the disconnect to be recorded", || {
        !harness.recorded(EventCode::RequestCancelled).is_empty()
    });
    let entry = Arc::clone(&harness.entry);
    let drained = harness.workers.spawn(async move {
        entry.drain().await;
        note.send("drained").unwrap();
    });
    wait_until("the last connection to close", || {
        harness.entry.connections() == 0
    });
    // Long enough to detect a drain that does not wait.
    std::thread::sleep(Duration::from_millis(50));
    release.send(()).unwrap();
    smol::block_on(drained);
    assert_eq!(notes.iter().take(2).collect::<Vec<_>>(), ["ran", "drained"]);
}

#[test]
fn verify_a_disconnect_before_the_first_byte_cancels_the_run() {
    const SLOTS: usize = 4;
    let (arrived, arrivals) = channel();
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let upstream = RawUpstream::start(move |mut stream, _| {
        while let Some(message) = read_message(&mut stream) {
            arrived.send(message.starts_with("POST")).unwrap();
            released.lock().unwrap().recv().unwrap();
            stream.write_all(DONE).unwrap();
        }
    });
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    let mut readers: Vec<_> = (0..SLOTS).map(|_| harness.caller()).collect();
    for reader in &mut readers {
        reader.send(&get("/cracks"));
        assert!(!arrivals.recv().unwrap());
    }
    let mut disconnected = harness.caller();
    disconnected.send(&post("/notes", &key, "lintel"));
    drop(disconnected);
    wait_until("the disconnect to be recorded", || {
        !harness.recorded(EventCode::RequestCancelled).is_empty()
    });
    for reader in &mut readers {
        release.send(()).unwrap();
        assert!(reader.answer().unwrap().ends_with("filed!"));
    }
    release.send(()).unwrap();
    let mut request_again = || harness.caller().request(&post("/notes", &key, "lintel"));
    // The cancelled run may take a moment to end.
    let answers = std::iter::repeat_with(&mut request_again);
    let answer = { answers }.find(|answer| !answer.contains("in-progress"));
    let answer = answer.unwrap();
    assert!(answer.ends_with("filed!"), "{answer}");
    assert!(!answer.contains("foxtide-outcome"), "a first run: {answer}");
    assert_eq!(arrivals.try_iter().filter(|posted| *posted).count(), 1);
}

#[test]
fn verify_a_rejected_retry_leaves_the_outcome_unknown() {
    let upstream = RawUpstream::answering(DONE);
    let harness = Harness::start(&[upstream.address]);
    let key = own_key(&harness);
    let first = harness.caller().request(&post("/notes", &key, "lintel"));
    assert!(first.ends_with("filed!"), "{first}");
    let copy = post("/notes", &key, "lintel");
    let malformed = copy.replace("host: x", "host: x\r\nfoxtide-deadline-ms: soon");
    assert_refused(&harness.caller().request(&malformed), 400, "unknown");
    let unknown_service = copy.replace("/viewer/", "/removed/");
    assert_refused(&harness.caller().request(&unknown_service), 404, "unknown");
}
