//! Each complete answer belongs to its own request, although upstreams answer
//! late, early, twice, truncated and with wrong lengths.

mod support;

use foxtide_entry::{
    EntryOptions,
    PoolOptions, //
};
use foxtide_testing::{
    AnswerFault,
    FaultSpan,
    UpstreamOptions,
    UpstreamServer, //
};
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread::JoinHandle;
use std::time::Duration;
use support::{
    Caller,
    Harness, //
};

const CALLERS: usize = 8;
const REQUESTS: usize = 60;
const UPSTREAMS: usize = 3;

const FAULTS: [AnswerFault; 7] = [
    AnswerFault::Doubled,
    AnswerFault::Truncated,
    AnswerFault::Late(Duration::from_millis(80)),
    AnswerFault::LengthTooLong,
    AnswerFault::LengthTooShort,
    AnswerFault::LostAfterRun,
    AnswerFault::None,
];

/// Sends a request; returns whether an upstream answered it.
fn request_once(caller: &mut Caller, number: usize) -> bool {
    let id = format!("request-{number}");
    let method = if number.is_multiple_of(2) {
        "GET"
    } else {
        "POST"
    };
    let request = format!(
        "{method} /hamutenya/viewer/{number} HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\
         foxtide-request-id: {id}\r\nfoxtide-deadline-ms: 60\r\n\r\n"
    );
    let answer = caller.request(&request);
    assert!(answer.contains(&format!("foxtide-request-id: {id}\r\n")));
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let body: Value = serde_json::from_str(body).unwrap_or_else(|_| panic!("not whole: {answer}"));
    if head.contains("foxtide-outcome: ") {
        return false;
    }
    assert_eq!(
        body["request_id"],
        id.as_str(),
        "another's answer: {answer}"
    );
    true
}

fn start_caller(harness: &Harness, first: usize) -> JoinHandle<usize> {
    let mut caller = harness.caller();
    std::thread::spawn(move || {
        let numbers = first..first + REQUESTS;
        numbers
            .filter(|number| request_once(&mut caller, *number))
            .count()
    })
}

#[test]
fn verify_each_answer_is_its_own_requests_under_faults() {
    let start = |number| {
        let options = UpstreamOptions {
            seed: number as u64 + 1,
            ..UpstreamOptions::default()
        };
        smol::block_on(UpstreamServer::start(options)).unwrap()
    };
    let upstreams: Vec<UpstreamServer> = (0..UPSTREAMS).map(start).collect();
    let addresses: Vec<_> = upstreams.iter().map(UpstreamServer::address).collect();
    let options = EntryOptions {
        pool: PoolOptions {
            request_id_echo_required: true,
            ..PoolOptions::default()
        },
        ..EntryOptions::default()
    };
    let harness = Harness::start_with(&addresses, options);
    let done = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&done);
    let faults = std::thread::spawn(move || {
        for (turn, fault) in FAULTS.iter().cycle().enumerate() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            let upstream = &upstreams[turn % UPSTREAMS];
            upstream.set_fault(*fault, FaultSpan::Next(3));
            upstream.set_answers_early(turn.is_multiple_of(4));
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| start_caller(&harness, caller * REQUESTS))
        .collect();
    let answered: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    done.store(true, Ordering::SeqCst);
    faults.join().unwrap();
    assert!(answered > 0, "no request was answered at all");
}
