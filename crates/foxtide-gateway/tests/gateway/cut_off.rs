//! Instances that reach no upstream while callers, the store and other instances reach them.

use crate::support::{
    Behaviour,
    Caller,
    Cut,
    FakeUpstream,
    Fleet,
    Instance,
    Path,
    eventually,
    route, //
};
use fastrand::Rng;
use foxtide_core::routing::{
    OrganisationEntry,
    OrganisationTerms,
    Quota,
    Route, //
};
use foxtide_core::units::RequestRate;
use std::collections::HashMap;
use std::time::{
    Duration,
    Instant, //
};

const CUTS: [Cut; 3] = [Cut::Silent, Cut::Reset, Cut::RefuseNew];

/// An instance with paths of its own to the upstreams, and one beside it.
struct Scene {
    fleet: Fleet,
    upstreams: Vec<FakeUpstream>,
    instance: Instance,
    paths: Vec<Path>,
    neighbour: Instance,
}

impl Scene {
    fn new() -> Self {
        let fleet = Fleet::new();
        let upstreams: Vec<FakeUpstream> = ["i-1", "i-2", "i-3"]
            .iter()
            .map(|name| fleet.upstream(name, "khomas-a"))
            .collect();
        let all: Vec<&FakeUpstream> = upstreams.iter().collect();
        let (instance, paths) = fleet.instance_behind_paths("edge-1", "khomas-a", &all);
        let neighbour = fleet.instance("edge-2", "khomas-a");
        for instance in [&instance, &neighbour] {
            instance.wait_for_members(2);
        }
        Self {
            fleet,
            upstreams,
            instance,
            paths,
            neighbour,
        }
    }

    fn cut(&self, cut: Cut) {
        for path in &self.paths {
            path.cut(cut);
        }
    }

    fn heal(&self) {
        for path in &self.paths {
            path.heal();
        }
    }

    /// Returns how often the upstreams have seen a request.
    fn seen(&self, request: &str) -> usize {
        let all = self.upstreams.iter().flat_map(FakeUpstream::seen);
        all.filter(|seen| seen.request == request).count()
    }
}

fn status_of(instance: &Instance, path: &str, request: &str) -> u16 {
    let lines = format!("request: {request}\r\nobject: {request}\r\ntime-left-ms: 4000\r\n");
    instance.get(path, &lines).head.status
}

/// Guards against callers that are refused by an instance that reaches no upstream, while others
/// beside it do; and against requests that run twice on the way.
#[test]
fn verify_an_instance_cut_off_from_all_upstreams_serves_through_a_neighbour() {
    for cut in CUTS {
        let scene = Scene::new();
        if cut != Cut::Silent {
            // Leaves open connections.
            assert_eq!(status_of(&scene.instance, "/safe/", "before"), 200);
        }
        scene.cut(cut);
        eventually("a request is served through the neighbour", || {
            status_of(&scene.instance, "/safe/", "first") == 200
        });
        for number in 0..20 {
            let request = format!("r-{number}");
            let path = ["/safe/", "/once/"][number % 2];
            let status = status_of(&scene.instance, path, &request);
            assert_eq!(status, 200, "{cut:?} {request}");
            assert_eq!(scene.seen(&request), 1, "{cut:?} {request}");
        }
    }
}

/// Guards against closing the connection of a request that another instance works on when the grace
/// time of a stop ends.
#[test]
fn verify_a_stop_answers_a_request_that_it_has_passed_on() {
    let Scene {
        fleet,
        upstreams,
        mut instance,
        paths,
        neighbour: _neighbour,
    } = Scene::new();
    // The request outlasts the stop, also on a busy machine.
    let patient = Route {
        timeout: Duration::from_secs(60),
        ..route("patient", false)
    };
    fleet.configure(2, vec![patient]);
    for path in &paths {
        path.cut(Cut::Reset);
    }
    eventually("a request is served through the neighbour", || {
        status_of(&instance, "/patient/", "first") == 200
    });
    for upstream in &upstreams {
        upstream.always(Behaviour::Silent);
    }
    let mut caller = Caller::connect(instance.address());
    caller.send("GET /patient/ HTTP/1.1\r\nhost: a.example\r\nrequest: r-1\r\n\r\n");
    let seen = || upstreams.iter().flat_map(FakeUpstream::seen);
    eventually("the request arrives", || {
        seen().any(|seen| seen.request == "r-1")
    });
    let (answered, answers) = std::sync::mpsc::channel();
    std::thread::spawn(move || answered.send(caller.read().head.status));
    instance.stop();
    let status = answers.recv_timeout(Duration::from_secs(5));
    assert_eq!(status.expect("the request is answered"), 502);
}

/// Guards against callers that are directed to an instance that reaches no upstream, and against
/// one that stays away from them for good.
#[test]
fn verify_callers_are_not_directed_to_an_instance_that_reaches_no_upstream() {
    let scene = Scene::new();
    scene.cut(Cut::Reset);
    eventually("callers are directed to the neighbour alone", || {
        status_of(&scene.instance, "/safe/", "r");
        let named = |instance: &Instance| {
            let body = instance.get("/lookup?region=khomas", "").body;
            String::from_utf8(body).unwrap()
        };
        [&scene.instance, &scene.neighbour].into_iter().all(|one| {
            let addresses = named(one);
            !addresses.contains(&scene.instance.address().to_string())
                && addresses.contains(&scene.neighbour.address().to_string())
        })
    });
    scene.heal();
    for instance in [&scene.instance, &scene.neighbour] {
        instance.wait_for_members(2);
    }
    assert_eq!(status_of(&scene.instance, "/safe/", "after"), 200);
}

/// Guards against requests that go round in circles, and callers that are directed nowhere, where
/// no instance reaches an upstream.
#[test]
fn verify_requests_are_refused_where_no_instance_reaches_an_upstream() {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2"].map(|name| fleet.upstream(name, "khomas-a"));
    let all = [&upstreams[0], &upstreams[1]];
    let (one, mut paths) = fleet.instance_behind_paths("edge-1", "khomas-a", &all);
    let (other, others) = fleet.instance_behind_paths("edge-2", "khomas-a", &all);
    paths.extend(others);
    for instance in [&one, &other] {
        instance.wait_for_members(2);
    }
    for path in &paths {
        path.cut(Cut::Reset);
    }
    for number in 0..40 {
        let instance = [&one, &other][number % 2];
        let response = instance.get("/once/", &format!("request: r-{number}\r\n"));
        assert_eq!(response.head.status, 503);
        assert!(response.head.lines.get("retry-after").is_some());
    }
    for instance in [&one, &other] {
        instance.wait_for_members(2);
    }
    for path in &paths {
        path.heal();
    }
    for instance in [&one, &other] {
        eventually("requests are served again", || {
            status_of(instance, "/safe/", "after") == 200
        });
    }
}

/// Guards against a request that is passed on to an instance outside its homes.
#[test]
fn verify_requests_are_passed_on_within_their_homes_alone() {
    let mut scene = Scene::new();
    let there = scene.fleet.upstream("i-there", "erongo-a");
    let path = Path::open(there.registration().address);
    let registered = there.registration().address;
    scene.instance.store.set_path(registered, path.address());
    scene.fleet.register(&there);
    scene.paths.push(path);
    let bound = Route {
        home_regions: vec!["erongo".parse().unwrap()],
        ..route("bound", true)
    };
    let routes = vec![route("safe", true), route("once", false), bound];
    scene.fleet.configure(2, routes);
    eventually("the route is in force", || {
        status_of(&scene.neighbour, "/bound/", "early") == 200
    });
    scene.cut(Cut::Reset);
    eventually("a request is served through the neighbour", || {
        status_of(&scene.instance, "/safe/", "first") == 200
    });
    // Only khomas has a neighbour, and the request is bound to erongo.
    assert_eq!(status_of(&scene.instance, "/bound/", "bound"), 503);
    assert_eq!(
        there
            .seen()
            .iter()
            .filter(|one| one.request == "bound")
            .count(),
        0
    );
    let _home = scene.fleet.instance("edge-3", "erongo-a");
    eventually("a neighbour in the home passes it on", || {
        status_of(&scene.instance, "/bound/", "bound-2") == 200
    });
}

/// Guards against work that goes on for a caller who has left while the request was passed on.
#[test]
fn verify_the_work_of_a_passed_request_ends_with_its_caller() {
    let scene = Scene::new();
    scene.cut(Cut::Reset);
    eventually("a request is served through the neighbour", || {
        status_of(&scene.instance, "/safe/", "first") == 200
    });
    for upstream in &scene.upstreams {
        upstream.always(Behaviour::Silent);
    }
    let mut caller = Caller::connect(scene.instance.address());
    caller.send("GET /safe/ HTTP/1.1\r\nhost: a.example\r\nrequest: gone\r\n\r\n");
    eventually("an upstream works on it", || scene.seen("gone") == 1);
    drop(caller);
    eventually("the work is cancelled", || {
        scene.upstreams.iter().any(|one| one.cancelled() > 0)
    });
}

/// Guards against strangers who claim that another instance has counted their requests already.
#[test]
fn verify_the_word_of_a_stranger_counts_for_nothing() {
    let fleet = Fleet::new();
    let terms = OrganisationTerms {
        organisation: "small".parse().unwrap(),
        priority: None,
        home_regions: Vec::new(),
        quota: Some(Quota {
            rate: RequestRate::clamped(1.0),
            burst: 4.0,
        }),
    };
    let organisation = OrganisationEntry {
        terms,
        keys: vec!["k-small".parse().unwrap()],
    };
    fleet.configure_for(2, vec![route("safe", true)], Some(vec![organisation]));
    let _upstream = fleet.upstream("i-1", "khomas-a");
    let instance = fleet.instance("edge-1", "khomas-a");
    instance.wait_for_members(1);
    let stranger = "127.0.0.2".parse().unwrap();
    eventually("the quota is used up", || {
        let mut caller = Caller::connect_from(stranger, instance.address());
        let lines = "request: r\r\nkey: k-small\r\nfoxtide-passed-on: 0 0 0 1\r\n";
        caller.get("/safe/", lines).head.status == 429
    });
}

/// Guards against a request that runs twice since its reply was lost between two instances or
/// before.
#[test]
fn verify_a_non_idempotent_request_whose_reply_is_lost_is_not_passed_on_again() {
    let scene = Scene::new();
    let _third = scene.fleet.instance("edge-3", "khomas-a");
    scene.instance.wait_for_members(3);
    scene.cut(Cut::Reset);
    eventually("a request is served through a neighbour", || {
        status_of(&scene.instance, "/safe/", "first") == 200
    });
    for upstream in &scene.upstreams {
        upstream.always(Behaviour::Break);
    }
    for number in 0..10 {
        let request = format!("r-{number}");
        assert_eq!(status_of(&scene.instance, "/once/", &request), 502);
        assert_eq!(scene.seen(&request), 1);
    }
    for number in 0..10 {
        let request = format!("s-{number}");
        status_of(&scene.instance, "/safe/", &request);
        // The attempts of the route count for both instances together.
        assert!(scene.seen(&request) <= 2, "{}", scene.seen(&request));
    }
}

/// The number of seeds of random cuts, unless `FOXTIDE_CUT_SEEDS` gives another one.
const SEEDS_DEFAULT: u64 = 2;

/// How long paths are cut and made whole in one play.
const PLAY_TIME: Duration = Duration::from_millis(2_500);

/// Guards against requests that run twice, or that are said not to have run and have, while the
/// paths of all instances are cut and made whole at random.
#[test]
fn verify_what_callers_are_told_holds_while_paths_are_cut_at_random() {
    let seeds = std::env::var("FOXTIDE_CUT_SEEDS");
    let seeds = seeds.map_or(SEEDS_DEFAULT, |seeds| seeds.parse().unwrap());
    for seed in 0..seeds {
        play(seed);
    }
}

fn play(seed: u64) {
    let fleet = Fleet::new();
    let upstreams = ["i-1", "i-2", "i-3", "i-4"].map(|name| fleet.upstream(name, "khomas-a"));
    let all: Vec<&FakeUpstream> = upstreams.iter().collect();
    let names = ["edge-1", "edge-2", "edge-3"];
    let scene = names.map(|name| fleet.instance_behind_paths(name, "khomas-a", &all));
    for (instance, _) in &scene {
        instance.wait_for_members(3);
    }
    let ends_at = Instant::now() + PLAY_TIME;
    let replies: Vec<(String, Option<u16>)> = std::thread::scope(|scope| {
        scope.spawn(|| cut_at_random(seed, &scene, ends_at));
        let callers: Vec<_> = (0..6)
            .map(|number| {
                let instance = &scene[number % scene.len()].0;
                scope.spawn(move || call_until(ends_at, number, instance))
            })
            .collect();
        let replies = callers.into_iter().map(|caller| caller.join().unwrap());
        replies.flatten().collect()
    });
    let mut runs: HashMap<String, usize> = HashMap::new();
    for seen in upstreams.iter().flat_map(FakeUpstream::seen) {
        *runs.entry(seen.request).or_default() += 1;
    }
    for (request, status) in &replies {
        let runs = runs.get(request).copied().unwrap_or_default();
        if request.starts_with("once") {
            assert!(runs <= 1, "seed {seed}: {request} ran {runs} times");
            let is_promise = matches!(status, Some(408 | 421 | 429 | 503));
            assert!(!is_promise || runs == 0, "seed {seed}: {request} has run");
        }
        assert!(*status != Some(200) || runs > 0, "seed {seed}: {request}");
    }
    for (instance, paths) in &scene {
        paths.iter().for_each(Path::heal);
        eventually("each instance serves again", || {
            status_of(instance, "/safe/", "after") == 200
        });
    }
}

/// Cuts all paths of an instance, or some, and makes them whole, until a time.
fn cut_at_random(seed: u64, scene: &[(Instance, Vec<Path>); 3], ends_at: Instant) {
    let mut rng = Rng::with_seed(seed);
    while Instant::now() < ends_at {
        let (_, paths) = &scene[rng.usize(..scene.len())];
        let cut = CUTS[rng.usize(..CUTS.len())];
        let is_whole = rng.u8(..3) > 0;
        let chosen: Vec<&Path> = paths.iter().filter(|_| is_whole || rng.bool()).collect();
        for path in &chosen {
            path.heal();
            path.cut(cut);
        }
        std::thread::sleep(Duration::from_millis(rng.u64(100..900)));
        if rng.bool() {
            chosen.iter().for_each(|path| path.heal());
        }
    }
}

/// Sends requests one after the other; returns their identities and statuses, if answered.
fn call_until(ends_at: Instant, caller: usize, instance: &Instance) -> Vec<(String, Option<u16>)> {
    let mut replies = Vec::new();
    for count in 0.. {
        if Instant::now() >= ends_at {
            break;
        }
        let kind = ["once", "safe"][count % 2];
        let request = format!("{kind}-{caller}-{count}");
        let lines = format!("request: {request}\r\nobject: {count}\r\ntime-left-ms: 1500\r\n");
        let reply = Caller::connect(instance.address()).try_get(&format!("/{kind}/"), &lines);
        replies.push((request, reply.ok().map(|reply| reply.head.status)));
        std::thread::sleep(Duration::from_millis(5));
    }
    replies
}

/// Guards against a request that is quarantined since the connections on which it was sent were
/// reset by a cut, as if it had ended its upstreams.
#[test]
fn verify_a_cut_that_resets_connections_quarantines_no_request() {
    let scene = Scene::new();
    for upstream in &scene.upstreams {
        upstream.always(Behaviour::Respond(200, "fine", Duration::from_millis(300)));
    }
    // The same content for many objects, so that all upstreams have some.
    let callers: Vec<Caller> = (0..24)
        .map(|number| {
            let mut caller = Caller::connect(scene.instance.address());
            caller.send(&format!(
                "GET /safe/popular HTTP/1.1\r\nhost: a.example\r\nrequest: r-{number}\r\n\
                 object: o-{}\r\n\r\n",
                number
            ));
            caller
        })
        .collect();
    eventually("upstreams work on requests", || {
        scene.upstreams.iter().all(|one| !one.seen().is_empty())
    });
    scene.cut(Cut::Reset);
    for mut caller in callers {
        caller.read();
    }
    // No report that a wrong conclusion makes is awaited by callers.
    for number in 0..10 {
        let request = format!("near-{number}");
        let status = status_of(&scene.neighbour, "/safe/popular", &request);
        assert_eq!(status, 200, "{request}");
    }
    eventually("the content is served through the neighbour", || {
        status_of(&scene.instance, "/safe/popular", "later") == 200
    });
    assert_eq!(scene.fleet.store.quarantined(), 0);
}
