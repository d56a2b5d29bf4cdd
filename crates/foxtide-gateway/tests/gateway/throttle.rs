//! Rate limits that upstreams state, kept by all instances together.

use crate::support::{
    FakeUpstream,
    Fleet,
    Instance,
    eventually, //
};
use std::time::{
    Duration,
    Instant, //
};

/// The limit that upstreams state in these tests, in requests per second.
const LIMIT_RPS: f64 = 2.0;

/// The window over which upstreams count requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests that an upstream accepts in `time`, or in one window if that is shorter.
fn accepted_in(time: Duration) -> usize {
    (1.5 * LIMIT_RPS * time.max(WINDOW).as_secs_f64() + 5.0) as usize
}

/// Sends `count` requests for different objects through the instances in turn; returns how many
/// had success.
fn send(instances: &[&Instance], path: &str, count: usize) -> usize {
    let send = |number: &usize| {
        let lines = format!("request: r-{number}\r\nobject: {number}\r\ntime-left-ms: 2000\r\n");
        let instance = instances[number % instances.len()];
        instance.get(path, &lines).head.status == 200
    };
    (0..count).filter(send).count()
}

/// Sends requests until each instance has a response of each upstream.
fn tell(instances: &[&Instance], upstreams: &[&FakeUpstream]) {
    for instance in instances {
        for upstream in upstreams {
            let before = upstream.seen().len();
            eventually("the upstream has responded", || {
                send(&[*instance], "/safe/", 8);
                upstream.seen().len() > before
            });
        }
    }
}

/// Guards against upstreams that are overrun by instances to which they have stated a limit.
#[test]
fn verify_instances_keep_to_a_stated_rate_limit_together() {
    for path in ["/safe/", "/once/"] {
        let fleet = Fleet::new();
        let limited = fleet.upstream("i-1", "khomas-a");
        let other = fleet.upstream("i-2", "khomas-a");
        let instances = ["edge-1", "edge-2", "edge-3"].map(|name| fleet.instance(name, "khomas-a"));
        for instance in &instances {
            instance.wait_for_members(3);
        }
        let all: Vec<&Instance> = instances.iter().collect();
        limited.state_rate_limit(Some(LIMIT_RPS));
        tell(&all, &[&limited]);
        let before = limited.seen().len();
        let began_at = Instant::now();
        assert_eq!(
            send(&all, path, 120),
            120,
            "the other upstream serves the rest"
        );
        let arrived = limited.seen().len() - before;
        let accepted = accepted_in(began_at.elapsed());
        assert!(arrived <= accepted, "{path}: {arrived} of {accepted}");
        assert!(!other.seen().is_empty());
    }
}

/// Guards against requests of other regions, which are sent without a grant, on top of a limit.
#[test]
fn verify_instances_of_other_regions_share_a_stated_rate_limit() {
    let fleet = Fleet::new();
    let limited = fleet.upstream("i-1", "khomas-a");
    let near = fleet.instance("edge-1", "khomas-a");
    let far = ["edge-2", "edge-3"].map(|name| fleet.instance(name, "erongo-a"));
    near.wait_for_members_of("erongo", 2);
    for instance in &far {
        instance.wait_for_members_of("khomas", 1);
    }
    let all = [&near, &far[0], &far[1]];
    limited.state_rate_limit(Some(LIMIT_RPS));
    tell(&all, &[&limited]);
    let before = limited.seen().len();
    let began_at = Instant::now();
    send(&all, "/safe/", 120);
    let arrived = limited.seen().len() - before;
    let accepted = accepted_in(began_at.elapsed());
    assert!(arrived <= accepted, "{arrived} of {accepted}");
}

/// Guards against requests that wait, or fail without a retry time, although no upstream takes
/// them within its rate limit.
#[test]
fn verify_requests_beyond_all_rate_limits_are_rejected_at_once() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
    let instance = fleet.instance("edge-1", "khomas-a");
    for upstream in &upstreams {
        upstream.state_rate_limit(Some(LIMIT_RPS));
    }
    tell(&[&instance], &[&upstreams[0], &upstreams[1]]);
    let lines = "request: r\r\nobject: o\r\ntime-left-ms: 60000\r\n";
    let rejected = (0..50)
        .map(|_| instance.get("/safe/", lines))
        .find(|response| response.head.status == 503)
        .expect("a request is rejected");
    let retry_after = rejected.head.lines.text("retry-after").unwrap();
    assert!(retry_after.parse::<f64>().unwrap() <= WINDOW.as_secs_f64());
}
