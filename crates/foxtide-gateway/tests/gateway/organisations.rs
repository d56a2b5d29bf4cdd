//! Keys, homes and quotas of organisations.

use crate::support::{
    Behaviour,
    Caller,
    FakeUpstream,
    Fleet,
    Instance,
    eventually,
    route, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::routing::{
    OrganisationEntry,
    OrganisationTerms,
    Quota,
    Route, //
};
use foxtide_core::units::RequestRate;
use foxtide_http::WholeResponse;
use std::time::Duration;

fn organisation(name: &str, keys: &[&str]) -> OrganisationEntry {
    OrganisationEntry {
        terms: OrganisationTerms {
            organisation: name.parse().unwrap(),
            priority: None,
            home_regions: Vec::new(),
            quota: None,
        },
        keys: keys.iter().map(|key| key.parse().unwrap()).collect(),
    }
}

fn homed(name: &str, key: &str, home: &str) -> OrganisationEntry {
    let entry = organisation(name, &[key]);
    OrganisationEntry {
        terms: OrganisationTerms {
            home_regions: vec![home.parse().unwrap()],
            ..entry.terms
        },
        ..entry
    }
}

fn limited(name: &str, key: &str, rate_rps: f64, burst: f64) -> OrganisationEntry {
    let entry = organisation(name, &[key]);
    let rate = RequestRate::clamped(rate_rps);
    OrganisationEntry {
        terms: OrganisationTerms {
            quota: Some(Quota { rate, burst }),
            ..entry.terms
        },
        ..entry
    }
}

fn routes() -> Vec<Route> {
    let public = Route {
        is_public: true,
        ..route("open", true)
    };
    vec![route("safe", true), route("once", false), public]
}

fn fleet_of(organisations: Vec<OrganisationEntry>) -> (Fleet, FakeUpstream, Instance) {
    let fleet = Fleet::new();
    fleet.configure_for(2, routes(), Some(organisations));
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    (fleet, upstream, instance)
}

fn status(response: &WholeResponse) -> u16 {
    response.head.status
}

#[test]
fn verify_a_request_needs_a_key_and_the_upstream_learns_whose_it_is() {
    let (_fleet, upstream, instance) = fleet_of(vec![
        organisation("acme", &["k-1", "k-2"]),
        organisation("other", &["k-3"]),
    ]);
    for (lines, organisation) in [
        ("key: k-1\r\n", "acme"),
        ("key: k-2\r\norganisation: other\r\n", "acme"),
        (
            "ORGANISATION: acme\r\nkey: k-3\r\norganisation: acme\r\n",
            "other",
        ),
    ] {
        let response = instance.get("/safe/", &format!("request: r\r\n{lines}"));
        assert_eq!(status(&response), 200, "{lines}");
        let seen = upstream.seen();
        let seen = seen.last().unwrap();
        assert_eq!(seen.organisation, organisation, "{lines}");
        assert_eq!(seen.key, "");
    }
    let served = upstream.seen().len();
    for lines in [
        "",
        "key: k-4\r\n",
        "key: K-1\r\n",
        "key: a b\r\n",
        "key: \r\n",
    ] {
        let response = instance.get("/safe/", &format!("request: r\r\n{lines}"));
        assert_eq!(status(&response), 401, "{lines}");
        assert_eq!(response.head.lines.text("www-authenticate"), Some("Bearer"));
    }
    assert_eq!(upstream.seen().len(), served);
}

#[test]
fn verify_a_public_route_needs_no_key_and_names_the_organisation_of_one() {
    let (_fleet, upstream, instance) = fleet_of(vec![organisation("acme", &["k-1"])]);
    for (lines, organisation) in [
        ("organisation: forged\r\n", ""),
        ("key: unknown\r\norganisation: forged\r\n", ""),
        ("key: k-1\r\norganisation: forged\r\n", "acme"),
    ] {
        let response = instance.get("/open/", &format!("request: r\r\n{lines}"));
        assert_eq!(status(&response), 200, "{lines}");
        let seen = upstream.seen();
        let seen = seen.last().unwrap();
        assert_eq!((&*seen.organisation, &*seen.key), (organisation, ""));
    }
}

#[test]
fn verify_no_key_is_needed_without_organisations() {
    let fleet = Fleet::new();
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    let response = instance.get("/safe/", "request: r\r\nkey: upstreams-own\r\n");
    assert_eq!(status(&response), 200);
    assert_eq!(upstream.seen()[0].key, "upstreams-own");
}

#[test]
fn verify_a_key_of_two_organisations_is_refused() {
    let (_fleet, _upstream, instance) = fleet_of(vec![
        organisation("acme", &["shared", "own"]),
        organisation("other", &["shared"]),
        organisation("third", &["shared"]),
    ]);
    assert_eq!(
        status(&instance.get("/safe/", "request: r\r\nkey: shared\r\n")),
        401
    );
    assert_eq!(
        status(&instance.get("/safe/", "request: r\r\nkey: own\r\n")),
        200
    );
}

/// A new version that revokes a key applies to open connections, also to pipelined requests.
#[test]
fn verify_a_revoked_key_is_refused_on_open_connections() {
    let (fleet, upstream, instance) = fleet_of(vec![organisation("acme", &["k-1", "k-2"])]);
    let mut caller = Caller::connect(instance.address());
    assert_eq!(
        status(&caller.get("/safe/", "request: r\r\nkey: k-1\r\n")),
        200
    );
    let slow = Behaviour::Respond(200, "fine", Duration::from_millis(200));
    upstream.next(slow);
    let one = "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: r\r\nkey: k-1\r\n\r\n";
    caller.send(&one.repeat(2));
    eventually("the first of two is sent", || upstream.seen().len() == 2);
    fleet.configure_for(3, routes(), Some(vec![organisation("acme", &["k-2"])]));
    eventually("the key is refused", || {
        status(&instance.get("/safe/", "request: r\r\nkey: k-1\r\n")) == 401
    });
    assert_eq!(status(&caller.read()), 200);
    let after = status(&caller.read());
    assert!(
        after == 401 || after == 200,
        "sent before or after the version: {after}"
    );
    assert_eq!(
        status(&caller.get("/safe/", "request: r\r\nkey: k-1\r\n")),
        401
    );
    assert_eq!(
        status(&caller.get("/safe/", "request: r\r\nkey: k-2\r\n")),
        200
    );
}

/// A request that waits for a slot when its key is revoked is not sent.
#[test]
fn verify_a_revoked_key_ends_waiting_requests() {
    let fleet = Fleet::new();
    let patient = Route {
        timeout: Duration::from_secs(20),
        ..route("safe", true)
    };
    let both = vec![
        organisation("acme", &["k-1"]),
        organisation("other", &["k-2"]),
    ];
    fleet.configure_for(2, vec![patient.clone()], Some(both));
    let upstream = fleet.upstream("i-1", "khomas-a");
    upstream.always(Behaviour::Silent);
    let [instance, other] = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
    for instance in [&instance, &other] {
        instance.wait_for_members(2);
    }
    let send = |key: &str| {
        let mut caller = Caller::connect(instance.address());
        caller.send(&format!(
            "GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-{key}\r\nkey: {key}\r\n\r\n"
        ));
        caller
    };
    // Four requests in slots, and one that waits at the upstream itself.
    let running: Vec<Caller> = (0..5).map(|_| send("k-2")).collect();
    eventually("the slots are taken", || upstream.seen().len() == 5);
    let mut waiting = send("k-1");
    let only = vec![organisation("other", &["k-2"])];
    fleet.configure_for(3, vec![patient, route("new", true)], Some(only));
    eventually("the version is in force", || {
        status(&instance.get("/new/", "request: r\r\n")) == 401
    });
    drop(running);
    assert_eq!(status(&waiting.read()), 401);
    assert!(upstream.seen().iter().all(|seen| seen.request != "r-k-1"));
}

#[test]
fn verify_homes_of_route_and_organisation_both_bind() {
    let fleet = Fleet::new();
    let home: RegionId = "khomas".parse().unwrap();
    let bound = Route {
        home_regions: vec![home],
        ..route("bound", true)
    };
    let routes = vec![route("safe", true), bound];
    let organisations = vec![
        homed("there", "k-there", "erongo"),
        homed("here", "k-here", "khomas"),
        organisation("free", &["k-free"]),
    ];
    fleet.configure_for(2, routes, Some(organisations));
    let here = fleet.upstream("i-1", "khomas-a");
    let there = fleet.upstream("i-2", "erongo-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    for number in 0..20 {
        let lines = format!("request: r\r\nobject: o-{number}\r\nkey: k-there\r\n");
        assert_eq!(status(&instance.get("/safe/", &lines)), 200);
    }
    assert_eq!((here.seen().len(), there.seen().len()), (0, 20));
    let response = instance.get("/bound/", "request: r\r\nkey: k-there\r\n");
    assert_eq!(status(&response), 503);
    assert!(response.head.lines.get("retry-after").is_some());
    assert_eq!(
        status(&instance.get("/bound/", "request: r\r\nkey: k-here\r\n")),
        200
    );
    assert_eq!(
        status(&instance.get("/bound/", "request: r\r\nkey: k-free\r\n")),
        200
    );
    assert_eq!((here.seen().len(), there.seen().len()), (2, 20));
}

/// Retries after failures and refusals must not leave the home regions.
#[test]
fn verify_retries_keep_to_homes() {
    let fleet = Fleet::new();
    let organisations = vec![homed("there", "k-there", "erongo")];
    fleet.configure_for(2, routes(), Some(organisations));
    let elsewhere = fleet.upstream("i-1", "khomas-a");
    let home = fleet.upstream("i-2", "erongo-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    for behaviour in [Behaviour::Break, Behaviour::Full, Behaviour::Cut] {
        home.always(behaviour);
        let response = instance.get("/safe/", "request: r\r\nkey: k-there\r\n");
        assert_ne!(status(&response), 200);
    }
    assert!(elsewhere.seen().is_empty());
}

/// Guards against second choices in the own region for requests that are bound to another one. A
/// slot of another region is asked for where an upstream limits its rate.
#[test]
fn verify_second_choices_keep_to_homes() {
    let fleet = Fleet::new();
    let organisations = vec![homed("there", "k-there", "erongo")];
    fleet.configure_for(2, routes(), Some(organisations));
    let elsewhere = fleet.upstream("i-1", "khomas-a");
    let home = fleet.upstream("i-2", "erongo-a");
    let _coordinator = fleet.instance("edge-2", "erongo-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    instance.wait_for_members_of("erongo", 1);
    home.state_rate_limit(Some(1_000.0));
    // Longer than the objective, so that no later request would wait for a slot.
    home.always(Behaviour::Respond(200, "fine", Duration::from_secs(2)));
    let lines = "request: r\r\nobject: o\r\nkey: k-there\r\n";
    for _ in 0..2 {
        eventually("the home serves a request", || {
            status(&instance.get("/safe/", lines)) == 200
        });
    }
    let callers: Vec<Caller> = (0..8)
        .map(|_| {
            let mut caller = Caller::connect(instance.address());
            caller.send(&format!(
                "GET /safe/ HTTP/1.1\r\nhost: a.example\r\n{lines}\r\n"
            ));
            caller
        })
        .collect();
    for mut caller in callers {
        caller.read();
    }
    assert!(elsewhere.seen().is_empty());
}

#[test]
fn verify_a_quota_holds_over_all_instances_and_refuses_at_once() {
    let fleet = Fleet::new();
    let organisations = vec![
        limited("small", "k-small", 1.0, 4.0),
        organisation("free", &["k-free"]),
    ];
    fleet.configure_for(2, routes(), Some(organisations));
    let upstream = fleet.upstream("i-1", "khomas-a");
    let instances = ["edge-1", "edge-2"].map(|name| fleet.instance(name, "khomas-a"));
    for instance in &instances {
        instance.wait_for_members(2);
    }
    let mut refused = 0;
    for number in 0..60 {
        let instance = &instances[number % 2];
        let response = instance.get("/safe/", "request: r\r\nkey: k-small\r\n");
        match status(&response) {
            200 => {}
            429 => {
                refused += 1;
                let after = response.head.lines.text("retry-after").unwrap();
                assert!(after.parse::<f64>().unwrap() > 0.0, "{after}");
            }
            other => panic!("{other}"),
        }
        assert_eq!(
            status(&instance.get("/safe/", "request: r\r\nkey: k-free\r\n")),
            200
        );
    }
    let is_small = |seen: &&crate::support::Seen| seen.organisation == "small";
    let served = upstream.seen().iter().filter(is_small).count();
    assert_eq!(served + refused, 60);
    // The allowance of a window, and a few seconds more at the rate.
    assert!((1..=45).contains(&served), "{served}");
    assert!(refused > 10, "{refused}");
}

/// Without a configuration no key can be judged, so the caller is told to retry.
#[test]
fn verify_an_instance_without_a_configuration_refuses_no_key() {
    let fleet = Fleet::default();
    let instance = fleet.start_instance("edge-1", "khomas-a");
    let response = instance.get("/safe/", "request: r\r\nkey: k-1\r\n");
    assert_eq!(status(&response), 503);
}

/// One organisation's quarantined request must not block another's.
#[test]
fn verify_a_request_is_quarantined_for_its_organisation_alone() {
    let (fleet, first, instance) = fleet_of(vec![
        organisation("acme", &["one"]),
        organisation("other", &["two"]),
    ]);
    let more = (2..=6).map(|number| fleet.upstream(&format!("i-{number}"), "khomas-a"));
    let mut upstreams: Vec<FakeUpstream> = more.collect();
    upstreams.push(first);
    for upstream in &upstreams {
        upstream.always(Behaviour::End(Duration::from_millis(50)));
    }
    let send = |key: &str| {
        let lines = format!("key: {key}\r\nrequest: r\r\nobject: o\r\n");
        status(&instance.get("/safe/deadly", &lines))
    };
    eventually("it is quarantined", || {
        send("one") == 503 && fleet.store.quarantined() == 1
    });
    for upstream in &upstreams {
        upstream.always(Behaviour::SUCCESS);
    }
    assert_eq!(send("two"), 200);
    assert_eq!(send("one"), 503);
}
