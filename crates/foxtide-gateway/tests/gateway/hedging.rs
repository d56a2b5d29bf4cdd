//! Second attempts beside slow first ones.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use foxtide_http::WholeResponse;
use std::time::Duration;

/// The requests after which an instance hedges: the first access, and the samples of repeated ones.
const LEARNED_COUNT: usize = 101;

/// Much longer than the usual response.
const SLOW: Duration = Duration::from_millis(400);

const LINES: &str = "request: r-1\r\nobject: o\r\n";

/// Two instances and two upstreams, whose usual latency the first instance has learned.
struct Learned {
    _fleet: Fleet,
    instances: [Instance; 2],
    /// The first choice of the object.
    first: FakeUpstream,
    second: FakeUpstream,
}

impl Learned {
    /// Starts instances and sends the requests that they learn from.
    fn new(path: &str, start: impl Fn(&Fleet, &str) -> Instance) -> Self {
        let fleet = Fleet::new();
        let one = fleet.upstream("i-1", "khomas-a");
        let two = fleet.upstream("i-2", "khomas-a");
        // An instance that knows another one asks for slots.
        let instances = ["edge-1", "edge-2"].map(|name| start(&fleet, name));
        for instance in &instances {
            instance.wait_for_members(2);
        }
        let mut caller = Caller::connect(instances[0].address());
        for _ in 0..LEARNED_COUNT {
            assert_eq!(caller.get(path, LINES).head.status, 200);
        }
        let (first, second) = if two.seen().is_empty() {
            (one, two)
        } else {
            (two, one)
        };
        assert_eq!(first.seen().len(), LEARNED_COUNT);
        first.always(Behaviour::Respond(200, "first", Duration::ZERO));
        second.always(Behaviour::Respond(200, "second", Duration::ZERO));
        Self {
            _fleet: fleet,
            instances,
            first,
            second,
        }
    }

    fn hedging(path: &str) -> Self {
        Self::new(path, |fleet, name| {
            fleet.hedging_instance(name, "khomas-a", 20.0)
        })
    }

    fn get(&self, path: &str) -> WholeResponse {
        self.instances[0].get(path, LINES)
    }

    /// Checks that a slow request is sent once and answered by its first upstream.
    fn check_is_not_hedged(&self, path: &str) {
        self.first.next(Behaviour::Respond(200, "slow", SLOW));
        assert_eq!(self.get(path).body, b"slow");
        assert_eq!(self.first.seen().len(), LEARNED_COUNT + 1);
        assert_eq!(self.second.seen().len(), 0);
    }
}

/// A request must not wait for an upstream that is slow while another one is idle.
#[test]
fn verify_a_slow_request_is_answered_by_its_hedge() {
    let learned = Learned::hedging("/safe/");
    learned.first.next(Behaviour::Silent);
    let response = learned.get("/safe/");
    assert_eq!(
        (response.head.status, &response.body[..]),
        (200, &b"second"[..])
    );
    eventually("the first connection is closed", || {
        learned.first.cancelled() == 1
    });
    assert_eq!(learned.second.seen().len(), 1);
}

/// A request that is not idempotent must run once.
#[test]
fn verify_requests_that_are_not_idempotent_are_not_hedged() {
    Learned::hedging("/once/").check_is_not_hedged("/once/");
}

/// Hedges must keep to the retry budget, or they would multiply the load of slow upstreams.
#[test]
fn verify_a_spent_budget_allows_no_hedge() {
    // An instance always has one retry.
    let learned = Learned::new("/safe/", |fleet, name| {
        fleet.hedging_instance(name, "khomas-a", 0.0)
    });
    for body in [&b"second"[..], b"slow"] {
        learned.first.next(Behaviour::Respond(200, "slow", SLOW));
        assert_eq!(learned.get("/safe/").body, body);
    }
    assert_eq!(learned.first.seen().len(), LEARNED_COUNT + 2);
    assert_eq!(learned.second.seen().len(), 1);
}

/// Hedging must not begin without being configured.
#[test]
fn verify_hedging_is_off_by_default() {
    let learned = Learned::new("/safe/", |fleet, name| fleet.instance(name, "khomas-a"));
    learned.check_is_not_hedged("/safe/");
}

/// An upstream must not work on for a caller that has left.
#[test]
fn verify_both_attempts_end_when_the_caller_leaves() {
    let learned = Learned::hedging("/safe/");
    learned.first.next(Behaviour::Silent);
    learned.second.next(Behaviour::Silent);
    let mut caller = Caller::connect(learned.instances[0].address());
    caller.send(&format!(
        "GET /safe/ HTTP/1.1\r\nhost: a.example\r\n{LINES}\r\n"
    ));
    eventually("the hedge is sent", || learned.second.seen().len() == 1);
    drop(caller);
    eventually("both attempts are cancelled", || {
        learned.first.cancelled() == 1 && learned.second.cancelled() == 1
    });
}

/// The error of a hedge must not be delivered while the first attempt can succeed.
#[test]
fn verify_the_first_attempt_answers_if_its_hedge_fails() {
    let learned = Learned::hedging("/safe/");
    learned.first.next(Behaviour::Respond(200, "slow", SLOW));
    learned
        .second
        .next(Behaviour::Respond(500, "broken", Duration::ZERO));
    let response = learned.get("/safe/");
    assert_eq!(
        (response.head.status, &response.body[..]),
        (200, &b"slow"[..])
    );
    assert_eq!(learned.second.seen().len(), 1);
}

/// A request that may have run as a hedge must not be reported as not run.
#[test]
fn verify_a_lost_hedge_is_not_reported_as_not_run() {
    let learned = Learned::hedging("/safe/");
    learned.first.next(Behaviour::FullAfter(SLOW));
    learned.second.next(Behaviour::Break);
    assert_eq!(learned.get("/safe/").head.status, 502);
    // The hedge was the second of two attempts.
    assert_eq!(learned.first.seen().len(), LEARNED_COUNT + 1);
    assert_eq!(learned.second.seen().len(), 1);
}
