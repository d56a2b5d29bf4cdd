//! Checks commands that query instances.

#[allow(dead_code)]
mod support;

use foxtidectl::ExitStatus;
use http_types::{
    Request,
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use smol::net::TcpListener;
use std::collections::HashMap;
use std::net::SocketAddr;
use support::run;

/// Starts an admin listener that serves these pages.
async fn start_admin_listener(pages: HashMap<&'static str, Value>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    smol::spawn(async move {
        loop {
            let (connection, _) = listener.accept().await.expect("a connection");
            let pages = pages.clone();
            let served = async_h1::accept(connection, |request: Request| {
                let page = pages.get(request.url().path()).cloned();
                async move { Ok(page_response(page)) }
            });
            served.await.expect("a request");
        }
    })
    .detach();
    address
}

fn page_response(page: Option<Value>) -> Response {
    let Some(page) = page else {
        return Response::new(StatusCode::NotFound);
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(page.to_string());
    response
}

fn event(wall_us: u64, counter: u32, instance: &str, code: &str, organisation: &str) -> Value {
    json!({
        "clock": {"wall_us": wall_us, "counter": counter},
        "instance": instance,
        "code": code,
        "organisation": organisation,
    })
}

fn promise(worst_of_limit: f64, held: bool) -> Value {
    json!({
        "organisation": "hamutenya", "promise": "shift-cap", "service": "viewer",
        "region": "khomas", "limit": 0.02, "now": 0.01, "worst_of_limit": worst_of_limit,
        "unit": "share/s", "held": held,
    })
}

/// Starts two admin listeners, the first of which lists the second, and returns its address.
fn two_instances() -> SocketAddr {
    smol::block_on(async {
        let second = start_admin_listener(HashMap::from([
            ("/v1/promises", json!([promise(1.2, false)])),
            (
                "/v1/events",
                json!([
                    event(1_000, 1, "b", "F2002 configuration-applied", "hamutenya"),
                    event(3_000, 0, "b", "F4008 spill-started", "kluisdepot"),
                ]),
            ),
        ]));
        let second = second.await;
        let listed = json!([{"instance": "b", "admin_address": second, "state": "alive"}]);
        let first = start_admin_listener(HashMap::from([
            ("/v1/instances", listed),
            ("/v1/promises", json!([promise(0.4, true)])),
            (
                "/v1/events",
                json!([
                    event(2_000, 0, "a", "F5003 upstream-ejected", "hamutenya"),
                    event(2_500, 0, "a", "F9999 of-a-newer-version", "hamutenya"),
                    event(1_000, 0, "a", "F1002 process-ready", "hamutenya"),
                ]),
            ),
            (
                "/v1/explain",
                json!([{"kind": "request", "rule": "spill", "because": "the home is full", "at_us": 7,
                    "attempts": [{"upstream": "viewer-1", "result": "answered"}],
                    "view": {"candidates": [
                        {"name": {"upstream": "viewer-2"}, "excluded": "draining",
                         "figures": [{"kind": "slots", "value": 4.0, "age_ms": 0}]}]}}]),
            ),
        ]));
        first.await
    })
}

fn run_with_admin(first: SocketAddr, arguments: &[&str]) -> String {
    let first = first.to_string();
    let mut all = vec!["--admin", &first];
    all.extend(arguments);
    let outcome = run(&all);
    assert_eq!(outcome.status, ExitStatus::Done, "{outcome:?}");
    outcome.output
}

#[test]
fn verify_the_timeline_merges_all_instances_in_causal_order() {
    let first = two_instances();
    let lines = run_with_admin(first, &["timeline"]);
    let order = ["F1002", "F2002", "F5003", "F4008"].map(|code| lines.find(code));
    assert!(order.is_sorted() && order[0].is_some(), "{lines}");
}

#[test]
fn verify_events_of_another_version_do_not_hide_the_others() {
    let first = two_instances();
    let lines = run_with_admin(first, &["timeline"]);
    assert!(
        lines.contains("1 event(s) of kinds that this version does not know"),
        "{lines}"
    );
    assert!(lines.contains("upstream-ejected"), "{lines}");
}

#[test]
fn verify_the_timeline_is_filtered() {
    let first = two_instances();
    let lines = run_with_admin(first, &["timeline", "--organisation", "kluisdepot"]);
    assert!(
        lines.contains("F4008") && !lines.contains("hamutenya"),
        "{lines}"
    );
    let lines = run_with_admin(first, &["timeline", "--kind", "F5003"]);
    assert!(
        lines.contains("upstream-ejected") && !lines.contains("F2002"),
        "{lines}"
    );
}

#[test]
fn verify_instances_that_do_not_answer_are_named() {
    let first = two_instances();
    let lines = run_with_admin(first, &["--admin", "127.0.0.1:1", "timeline"]);
    assert!(lines.contains("missing: instance 127.0.0.1:1"), "{lines}");
}

#[test]
fn verify_a_request_is_explained() {
    let first = two_instances();
    let text = run_with_admin(first, &["explain", "request", "r1"]);
    assert!(text.contains("spill: the home is full"), "{text}");
    assert!(text.contains("attempt at viewer-1: answered"), "{text}");
    let excluded = "candidate upstream viewer-2: slots 4.0 (0 ms old), excluded: draining";
    assert!(text.contains(excluded), "{text}");
}

#[test]
fn verify_instances_are_listed() {
    let first = two_instances();
    let instances = run_with_admin(first, &["instances"]);
    assert!(instances.contains("ADMIN ADDRESS"), "{instances}");
}

#[test]
fn verify_a_drain_of_an_unknown_instance_is_refused() {
    let first = two_instances().to_string();
    let operator = support::Operator::with_example();
    let drain = |name| {
        let arguments = [
            "--admin",
            &first,
            "--yes",
            "drain",
            "start",
            "hamutenya",
            "--instance",
            name,
        ];
        operator.run(&arguments)
    };
    let refused = drain("c");
    assert_eq!(refused.status, ExitStatus::Refused);
    assert!(
        refused.errors.contains("no instance `c` is known"),
        "{refused:?}"
    );
    assert_eq!(operator.stored()["drains"], json!([]));
    assert_eq!(drain("b").status, ExitStatus::Done);
}

#[test]
fn verify_a_promise_broken_at_one_instance_is_reported_as_broken() {
    let first = two_instances();
    let promises = run_with_admin(first, &["promises"]);
    assert!(promises.contains("NO, at 1 of 2 instances"), "{promises}");
    assert!(promises.contains("120 %"), "{promises}");
}
