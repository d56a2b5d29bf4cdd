//! Second attempts beside slow first ones.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::routing::Route;
use std::time::Duration;

/// The requests after which an instance hedges: the first access, and the samples of repeated ones.
const LEARNED_COUNT: usize = 101;

/// Much longer than the usual response.
const SLOW: Duration = Duration::from_millis(400);

const ZONE: &str = "khomas-a";
const RETRY_BURST: Option<f64> = Some(20.0);
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
    /// Starts instances that hedge if they have a budget, and sends the requests that they learn
    /// from.
    fn new(path: &str, zones: [&str; 2], retry_burst: Option<f64>) -> Self {
        let fleet = Fleet::new();
        let homed = Route {
            home_regions: vec!["khomas".parse().unwrap()],
            ..route("homed", true)
        };
        fleet.configure(2, vec![route("safe", true), route("once", false), homed]);
        let mut first = fleet.upstream("i-1", zones[0]);
        let mut second = fleet.upstream("i-2", zones[1]);
        // An instance that knows another one asks for slots.
        let instances = ["edge-1", "edge-2"].map(|name| match retry_burst {
            Some(retry_burst) => fleet.hedging_instance(name, ZONE, retry_burst),
            None => fleet.instance(name, ZONE),
        });
        instances.iter().for_each(|one| one.wait_for_members(2));
        let mut caller = Caller::connect(instances[0].address());
        for _ in 0..LEARNED_COUNT {
            assert_eq!(caller.get(path, LINES).head.status, 200);
        }
        if first.seen().is_empty() {
            std::mem::swap(&mut first, &mut second);
        }
        assert_eq!(first.seen().len(), LEARNED_COUNT);
        second.always(Behaviour::Respond(200, "second", Duration::ZERO));
        Self {
            _fleet: fleet,
            instances,
            first,
            second,
        }
    }

    /// Checks the reply to a request that the first upstream serves slowly, and the number of
    /// requests that the second one has seen.
    fn check_slow(&self, path: &str, body: &str, seen_by_second: usize) {
        self.first.next(Behaviour::Respond(200, "slow", SLOW));
        let response = self.instances[0].get(path, LINES);
        assert_eq!(response.head.status, 200);
        assert_eq!(response.body, body.as_bytes());
        assert_eq!(self.second.seen().len(), seen_by_second);
    }
}

/// A request must not wait for an upstream that is slow while another one is idle.
#[test]
fn verify_a_slow_request_is_answered_by_its_hedge() {
    let learned = Learned::new("/safe/", [ZONE; 2], RETRY_BURST);
    learned.check_slow("/safe/", "second", 1);
    eventually("the first connection is closed", || {
        learned.first.cancelled() == 1
    });
}

/// A request that is not idempotent must run once.
#[test]
fn verify_requests_that_are_not_idempotent_are_not_hedged() {
    Learned::new("/once/", [ZONE; 2], RETRY_BURST).check_slow("/once/", "slow", 0);
}

/// Hedges must keep to the retry budget, or they would multiply the load of slow upstreams.
#[test]
fn verify_a_spent_budget_allows_no_hedge() {
    // An instance always has one retry.
    let learned = Learned::new("/safe/", [ZONE; 2], Some(0.0));
    learned.check_slow("/safe/", "second", 1);
    learned.check_slow("/safe/", "slow", 1);
}

/// A hedge must not leave the home regions of its route.
#[test]
fn verify_hedges_stay_in_the_region() {
    let learned = Learned::new("/homed/", [ZONE, "erongo-a"], RETRY_BURST);
    assert_eq!(learned.first.zone(), ZONE);
    learned.check_slow("/homed/", "slow", 0);
}

/// Hedging must not begin without being configured.
#[test]
fn verify_hedging_is_off_by_default() {
    Learned::new("/safe/", [ZONE; 2], None).check_slow("/safe/", "slow", 0);
}

/// An upstream must not work on for a caller that has left.
#[test]
fn verify_both_attempts_end_when_the_caller_leaves() {
    let learned = Learned::new("/safe/", [ZONE; 2], RETRY_BURST);
    learned.first.next(Behaviour::Silent);
    learned.second.next(Behaviour::Silent);
    let mut caller = Caller::connect(learned.instances[0].address());
    let head = "GET /safe/ HTTP/1.1\r\nhost: a.example\r\n";
    caller.send(&format!("{head}{LINES}\r\n"));
    eventually("the hedge is sent", || learned.second.seen().len() == 1);
    drop(caller);
    eventually("both attempts are cancelled", || {
        learned.first.cancelled() == 1 && learned.second.cancelled() == 1
    });
}

/// The error of a hedge must not be delivered while the first attempt can succeed, and a request
/// that may have run as a hedge must not be reported as not run.
#[test]
fn verify_a_failed_hedge_leaves_the_first_attempt() {
    let learned = Learned::new("/safe/", [ZONE; 2], RETRY_BURST);
    learned
        .second
        .next(Behaviour::Respond(500, "broken", Duration::ZERO));
    learned.check_slow("/safe/", "slow", 1);
    learned.first.next(Behaviour::FullAfter(SLOW));
    learned.second.next(Behaviour::Break);
    assert_eq!(learned.instances[0].get("/safe/", LINES).head.status, 502);
    assert_eq!(learned.first.seen().len(), LEARNED_COUNT + 2);
    assert_eq!(learned.second.seen().len(), 2);
}
