//! Replies that promise that a request has not run.

use crate::support::{
    Behaviour,
    Cut,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    member, //
};
use fastrand::Rng;
use foxtide_core::registry::Member;
use foxtide_gateway::Fact;
use std::time::Duration;

/// The statuses that promise that a request has not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Responses without an end: interim ones, a head, a body without a length and a chunked one.
const ENDLESS: [Behaviour; 4] = [
    Behaviour::Endless("HTTP/1.1 102 x\r\n\r\n", "HTTP/1.1 102 x\r\n\r\n"),
    Behaviour::Endless("HTTP/1.1 200 x\r\nSIGNED", "more: and more\r\n"),
    Behaviour::Endless("HTTP/1.1 200 x\r\nSIGNED\r\n", "and more and more and more"),
    Behaviour::Endless(
        "HTTP/1.1 200 x\r\nSIGNEDtransfer-encoding: chunked\r\n\r\n",
        "8\r\nand more\r\n",
    ),
];

fn respond(status: u16) -> Behaviour {
    Behaviour::Respond(status, "own", Duration::ZERO)
}

fn fleet_of_one() -> (Fleet, FakeUpstream, Instance) {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    (fleet, upstream, instance)
}

/// Guards against an upstream's own error that reaches the caller of a non-idempotent request as
/// the promise that it has not run.
#[test]
fn verify_an_error_of_the_upstreams_own_does_not_promise_that_a_request_has_not_run() {
    let (_fleet, upstream, instance) = fleet_of_one();
    for status in [503, 429, 408] {
        upstream.next(respond(status));
        let response = instance.get("/once/", "request: r-1\r\n");
        assert_eq!(response.head.status, 502, "{status}");
        assert_eq!(response.head.lines.text("signature"), None, "{status}");
    }
    assert_eq!(upstream.runs("r-1"), 3);
}

/// Guards against errors of upstreams that are replaced where they mislead nobody: the caller of an
/// idempotent request may repeat it after any failure.
#[test]
fn verify_other_errors_of_the_upstreams_own_are_delivered_unchanged() {
    let (_fleet, upstream, instance) = fleet_of_one();
    for (path, status) in [("/once/", 500), ("/once/", 404), ("/safe/", 429)] {
        upstream.next(respond(status));
        let response = instance.get(path, "request: r-1\r\n");
        assert_eq!(response.head.status, status, "{path}");
        assert_eq!(response.body, b"own");
        assert_eq!(response.head.lines.text("signature"), Some("s-r-1"));
    }
    upstream.always(respond(503));
    let response = instance.get("/safe/", "request: r-2\r\n");
    assert_eq!(response.head.status, 503);
    assert_eq!(response.head.lines.text("signature"), Some("s-r-2"));
}

/// Guards against a request that runs twice, or is refused and ran, since a response that shows its
/// run also states that it did not run.
#[test]
fn verify_a_response_that_shows_a_run_is_not_a_rejection() {
    let (_fleet, upstream, instance) = fleet_of_one();
    for (status, delivered) in [(200, 200), (500, 500), (404, 404), (429, 502), (503, 502)] {
        upstream.next(Behaviour::Contradict(status));
        let request = format!("r-{status}");
        let response = instance.get("/once/", &format!("request: {request}\r\n"));
        assert_eq!(response.head.status, delivered);
        assert_eq!(response.body == b"fine", status == delivered);
        assert_eq!(upstream.runs(&request), 1);
    }
}

/// Guards against an upstream's own error that reaches the caller as a promise through another
/// instance, of an earlier version, which delivers it unchanged.
#[test]
fn verify_an_instance_does_not_pass_on_a_promise_that_an_upstream_has_not_made() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2", "i-3"].map(|name| fleet.upstream(name, "khomas-a"));
    let all: Vec<&FakeUpstream> = upstreams.iter().collect();
    let (instance, paths) = fleet.instance_behind_paths("edge-1", "khomas-a", &all);
    let neighbour = FakeUpstream::start("edge-2", "erongo-a");
    // It coordinates no upstream of the other region.
    let joined = Member {
        availability_zone: "erongo-a".parse().unwrap(),
        region: "erongo".parse().unwrap(),
        ..member("edge-2", neighbour.registration().address)
    };
    fleet.store.put("instance/edge-2", Fact::Joined(joined));
    for path in &paths {
        path.cut(Cut::Reset);
    }
    eventually("a request is served through the neighbour", || {
        instance.get("/once/", "request: first\r\n").head.status == 200
    });
    neighbour.next(respond(503));
    let response = instance.get("/once/", "request: r-1\r\n");
    assert_eq!(neighbour.runs("r-1"), 1);
    assert_eq!(response.head.status, 502);
    neighbour.next(Behaviour::Full);
    let response = instance.get("/once/", "request: r-2\r\n");
    assert_eq!(response.head.status, 503, "the neighbour's own refusal");
}

/// Guards against responses without an end that are delivered as whole, taken for a rejection, or
/// read for as long as the upstream sends.
#[test]
fn verify_a_response_without_an_end_is_cut_and_may_have_run() {
    for (number, endless) in ENDLESS.into_iter().enumerate() {
        let (_fleet, upstream, instance) = fleet_of_one();
        upstream.next(endless);
        let response = instance.get("/once/", "request: r-1\r\n");
        assert!([502, 504].contains(&response.head.status), "{number}");
        eventually("the connection is closed", || upstream.cancelled() == 1);
        assert_eq!(upstream.runs("r-1"), 1, "{number}");
    }
}

/// Guards against untrue promises, second runs, and promises that are withheld although each
/// upstream has rejected the request, under random responses of three upstreams.
#[test]
fn verify_random_responses_break_and_withhold_no_promise() {
    let seeds = std::env::var("FOXTIDE_MODEL_SEEDS").map_or(6, |text| text.parse().unwrap());
    for seed in 0..seeds {
        let mut random = Rng::with_seed(seed);
        let fleet = Fleet::new();
        let upstreams = ["i-1", "i-2", "i-3"].map(|name| fleet.upstream(name, "khomas-a"));
        let instance = fleet.instance("edge-1", "khomas-a");
        let _other = fleet.instance("edge-2", "khomas-a");
        instance.wait_for_members(2);
        for number in 0..40 {
            for upstream in &upstreams {
                let usual = draw_rejection(&mut random);
                upstream.always(usual);
                if random.bool() {
                    upstream.next(draw_response(&mut random));
                }
            }
            let request = format!("r-{number}");
            let lines = format!("request: {request}\r\ntime-left-ms: 1000\r\n");
            let status = instance.get("/once/", &lines).head.status;
            let runs: usize = upstreams.iter().map(|one| one.runs(&request)).sum();
            let what = format!("seed {seed}, {request}: {status}, {runs} runs");
            assert!(runs <= 1, "{what}");
            assert_eq!(PROMISES.contains(&status), runs == 0, "{what}");
        }
    }
}

fn draw_rejection(random: &mut Rng) -> Behaviour {
    match random.u32(..4) {
        0 => Behaviour::Full,
        1 => Behaviour::FullAfter(Duration::from_millis(5)),
        2 => Behaviour::Twice(Box::new(Behaviour::Full)),
        _ => Behaviour::SUCCESS,
    }
}

fn draw_response(random: &mut Rng) -> Behaviour {
    let statuses = [200, 404, 408, 429, 500, 503];
    match random.u32(..9) {
        0 => Behaviour::Contradict(statuses[random.usize(..statuses.len())]),
        1 => Behaviour::Unsigned,
        2 => Behaviour::Break,
        3 => Behaviour::Cut,
        4 => Behaviour::Stray,
        5 => Behaviour::Hide,
        6 => ENDLESS[random.usize(..ENDLESS.len())].clone(),
        7 => Behaviour::Twice(Box::new(respond(503))),
        _ => respond(statuses[random.usize(..statuses.len())]),
    }
}
