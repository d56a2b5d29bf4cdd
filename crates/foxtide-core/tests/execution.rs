//! What is known about the execution of a request over its sends.

use fastrand::Rng;
use foxtide_core::execution::{
    SendEnd,
    SendLog, //
};
use foxtide_core::outcome::Outcome;

const ENDS: [SendEnd; 4] = [
    SendEnd::NotSent,
    SendEnd::Rejected,
    SendEnd::Responded { status: 503 },
    SendEnd::Lost,
];

/// Guards against a promise that a request has not run while a send of it may have run or may run.
#[test]
fn verify_a_request_has_not_run_only_if_no_send_may_run() {
    for seed in 0..1_000 {
        let mut random = Rng::with_seed(seed);
        let mut log = SendLog::default();
        let mut sends = Vec::new();
        for _ in 0..random.usize(0..12) {
            let index = random.usize(..=sends.len());
            if index == sends.len() {
                sends.push((log.begin("i-1"), None));
            } else {
                let end = ENDS[random.usize(..ENDS.len())];
                log.end(sends[index].0, end);
                sends[index].1.get_or_insert(end);
            }
            let may_run =
                |end: Option<SendEnd>| !matches!(end, Some(SendEnd::NotSent | SendEnd::Rejected));
            let may_run = sends.iter().any(|&(_, end)| may_run(end));
            assert_eq!(
                log.outcome() == Outcome::Unknown,
                may_run,
                "seed {seed}: {log}"
            );
        }
    }
}

#[test]
fn verify_each_send_is_displayed_with_its_end() {
    let mut log = SendLog::default();
    assert_eq!(log.to_string(), "");
    let first = log.begin("i-1");
    let second = log.begin("i-2");
    log.begin("i-3");
    log.end(second, SendEnd::Responded { status: 503 });
    log.end(first, SendEnd::Rejected);
    assert_eq!(log.to_string(), "i-1=rejected i-2=responded_503 i-3=open");
}
