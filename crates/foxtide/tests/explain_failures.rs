//! Explains failed requests by their identity, from the logs of a real process.

// Mock platform services of the soak example, only some of which are used here.
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/callers.rs"]
mod callers;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/configuration.rs"]
mod configuration;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/history.rs"]
mod history;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/instance.rs"]
mod instance;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/loopback.rs"]
mod loopback;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/organisations.rs"]
mod organisations;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/poison.rs"]
mod poison;

#[allow(dead_code)]
#[path = "../../../platform/examples/soak/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/responses.rs"]
mod responses;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/statements.rs"]
mod statements;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/upstream.rs"]
mod upstream;

use callers::{
    BODY,
    Message,
    send_request, //
};
use configuration::document;
use foxtide_http::BufferedStream;
use foxtidectl::ExitStatus;
use history::History;
use instance::Instance;
use organisations::Organisation;
use proxy::Proxy;
use responses::Behaviour;
use std::net::SocketAddr;
use std::path::{
    Path,
    PathBuf, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};
use store::{
    Store,
    StoreFault, //
};
use upstream::Upstream;

const TIMEOUT: Duration = Duration::from_secs(30);

/// One instance with an upstream of each service.
struct Fleet {
    store: Store,
    viewer: Upstream,
    notices: Upstream,
    instance: Instance,
}

impl Fleet {
    fn start(name: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let store = Store::start().unwrap();
        store.configure(&document(2, false));
        let history = Arc::new(History::default());
        let upstream = |service: &'static str| {
            let name = format!("i-{service}");
            let starting = Upstream::start(name, service, "khomas-a", &store, &history);
            smol::block_on(starting).unwrap()
        };
        let (viewer, notices) = (upstream("viewer"), upstream("notices"));
        let store_proxy = smol::block_on(Proxy::start(store.address())).unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_foxtide"));
        let name = "edge-1".to_owned();
        let mut instance = Instance::new(name, "khomas-a", store_proxy, program, &directory);
        instance.start().unwrap();
        let fleet = Self {
            store,
            viewer,
            notices,
            instance,
        };
        wait_until("the instance serves", || {
            fleet.instance.caller_address().is_some() && fleet.request("start", true) == Some(200)
        });
        fleet
    }

    /// Sends a request on a new connection and returns the status.
    fn request(&self, request: &str, is_idempotent: bool) -> Option<u16> {
        smol::block_on(send(self.callers(), request.to_owned(), is_idempotent))
    }

    fn callers(&self) -> SocketAddr {
        self.instance
            .caller_address()
            .expect("the instance has started")
    }

    /// Returns foxtidectl's explanation of a request once its end is logged.
    fn explanation(&self, request: &str) -> String {
        let log = self.instance.log_path().display().to_string();
        let arguments = ["explain", "request", request, "--lines", &log].map(str::to_owned);
        let explain = || {
            let (mut output, mut errors) = (Vec::new(), Vec::new());
            let status = foxtidectl::run(&arguments, &mut output, &mut errors);
            let text = String::from_utf8(output).unwrap();
            let is_ended = !text.contains("do not contain the end of the request");
            (status == ExitStatus::Done && is_ended).then_some(text)
        };
        wait_until("the request is explained", || explain().is_some());
        explain().unwrap()
    }
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

async fn send(callers: SocketAddr, request: String, is_idempotent: bool) -> Option<u16> {
    let path = if is_idempotent { "/safe/7" } else { "/once/7" };
    send_stating(callers, request, path, BODY.len()).await
}

/// Sends a request that states this length for its body.
async fn send_stating(
    callers: SocketAddr,
    request: String,
    path: &str,
    body_bytes: usize,
) -> Option<u16> {
    let mut stream = BufferedStream::connect(callers, None).await.ok()?;
    let message = Message {
        request_id: &request,
        path,
        affinity_key: 7,
        api_key: &Organisation::Unlimited.key(),
        body_bytes,
    };
    let response = send_request(&mut stream, &message).await?;
    Some(response.head.status)
}

#[test]
fn verify_a_refusal_by_a_full_upstream_is_explained() {
    let fleet = Fleet::start("explain-room");
    fleet.viewer.set_behaviour(Behaviour::Slow);
    let callers = fleet.callers();
    let refused = smol::block_on(async {
        // The upstream accepts 11 concurrent requests.
        let sending: Vec<_> = (0..30)
            .map(|number| {
                let request = format!("many-{number}");
                let sent = request.clone();
                (request, smol::spawn(send(callers, sent, true)))
            })
            .collect();
        let mut refused = None;
        for (request, task) in sending {
            if task.await == Some(503) {
                refused = Some(request);
            }
        }
        refused
    });
    let explanation = fleet.explanation(&refused.expect("a request is refused"));
    assert!(
        explanation.contains("cause: status 503: it did not run"),
        "{explanation}"
    );
    assert!(
        explanation.contains("was at capacity (i-viewer had"),
        "{explanation}"
    );
}

#[test]
fn verify_a_lost_answer_is_explained() {
    let fleet = Fleet::start("explain-lost");
    fleet.notices.set_behaviour(Behaviour::DropsResponses);
    let lost = (0..20)
        .map(|number| format!("lost-{number}"))
        .find(|request| fleet.request(request, false) == Some(502));
    let explanation = fleet.explanation(&lost.expect("an answer is lost"));
    assert!(
        explanation.contains("cause: status 502: it may have run"),
        "{explanation}"
    );
    assert!(explanation.contains("i-notices: "), "{explanation}");
    assert!(
        explanation.contains("it was not retried, since it must not run twice"),
        "{explanation}"
    );
}

/// Guards against a promise that is withheld and cannot be traced to the send that may have run.
#[test]
fn verify_an_error_of_an_upstreams_own_is_explained_by_its_sends() {
    let fleet = Fleet::start("explain-own-error");
    fleet.notices.set_behaviour(Behaviour::Errs(503));
    let failed = (0..20)
        .map(|number| format!("own-{number}"))
        .find(|request| fleet.request(request, false) == Some(502));
    let explanation = fleet.explanation(&failed.expect("an upstream fails"));
    assert!(
        explanation.contains("its sends: i-notices=responded_503"),
        "{explanation}"
    );
}

/// Guards against requests that are refused before their body is whole and leave no trace of their
/// identity.
#[test]
fn verify_a_request_refused_for_its_body_is_explained() {
    let fleet = Fleet::start("explain-body");
    let sent = send_stating(fleet.callers(), "long".to_owned(), "/once/7", usize::MAX);
    let status = smol::block_on(sent);
    assert_eq!(status, Some(413));
    let explanation = fleet.explanation("long");
    assert!(
        explanation.contains("the request exceeds the size limit"),
        "{explanation}"
    );
}

#[test]
fn verify_a_decision_during_a_store_outage_is_explained() {
    let fleet = Fleet::start("explain-outage");
    fleet.store.set_fault(StoreFault::Unresponsive);
    let lines = || std::fs::read_to_string(fleet.instance.log_path()).unwrap();
    wait_until("the outage is noticed", || {
        lines().contains("store-unreachable")
    });
    // The instance does not learn of the evacuation and keeps sending to the zone.
    fleet.store.evacuate("khomas-a", true);
    let began = Instant::now();
    wait_until("its configuration is stale", || {
        began.elapsed() > Duration::from_secs(3)
    });
    assert_eq!(fleet.request("blind", true), Some(200));
    let explanation = fleet.explanation("blind");
    assert!(
        explanation.contains("the instance used data of the store that was"),
        "{explanation}"
    );
    assert!(explanation.contains("unreachable since"), "{explanation}");
    assert!(
        explanation.contains("the store is unreachable: "),
        "{explanation}"
    );
}
