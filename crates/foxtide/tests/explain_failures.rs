//! From the identity of a failed request in a caller's hand to its cause, by the
//! lines of the real program.

// The stand-ins of the soak, which speak the platform's protocol. Each test uses a
// part of them.
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
#[path = "../../../platform/examples/soak/organisations.rs"]
mod organisations;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/poison.rs"]
mod poison;

#[allow(dead_code)]
#[path = "../../../platform/examples/soak/proxy.rs"]
mod proxy;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../../../platform/examples/soak/upstream.rs"]
mod upstream;

use callers::{
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
use upstream::{
    Behaviour,
    Upstream, //
};

/// How long a condition may take to hold before a test fails.
const PATIENCE: Duration = Duration::from_secs(30);

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
        eventually("the instance serves", || {
            fleet.instance.caller_address().is_some() && fleet.request("start", true) == Some(200)
        });
        fleet
    }

    /// Sends a request on a connection of its own and returns the status.
    fn request(&self, request: &str, is_idempotent: bool) -> Option<u16> {
        smol::block_on(send(self.callers(), request.to_owned(), is_idempotent))
    }

    fn callers(&self) -> SocketAddr {
        self.instance
            .caller_address()
            .expect("the instance has started")
    }

    /// Returns what the operator's tool says of a request, once its line is there.
    fn explanation(&self, request: &str) -> String {
        let log = self.instance.log_path().display().to_string();
        let arguments = ["explain", "request", request, "--lines", &log].map(str::to_owned);
        let explain = || {
            let (mut output, mut errors) = (Vec::new(), Vec::new());
            let status = foxtidectl::run(&arguments, &mut output, &mut errors);
            let text = String::from_utf8(output).unwrap();
            (status == ExitStatus::Done && !text.contains("its end is not")).then_some(text)
        };
        eventually("the request is explained", || explain().is_some());
        explain().unwrap()
    }
}

fn eventually(what: &str, holds: impl Fn() -> bool) {
    let ends_at = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < ends_at, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

async fn send(callers: SocketAddr, request: String, is_idempotent: bool) -> Option<u16> {
    let mut stream = BufferedStream::connect(callers, None).await.ok()?;
    let path = if is_idempotent { "/safe/7" } else { "/once/7" };
    let message = Message {
        request_id: &request,
        path,
        affinity_key: 7,
        api_key: &Organisation::Unlimited.key(),
    };
    let response = send_request(&mut stream, &message).await?;
    Some(response.head.status)
}

#[test]
fn verify_a_refusal_for_want_of_room_is_explained() {
    let fleet = Fleet::start("explain-room");
    fleet.viewer.set_behaviour(Behaviour::Slow);
    let callers = fleet.callers();
    let refused = smol::block_on(async {
        // The upstream takes 11 at once.
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
    let explanation = fleet.explanation(&refused.expect("one of them is refused"));
    assert!(
        explanation.contains("cause: status 503: it did not run"),
        "{explanation}"
    );
    assert!(
        explanation.contains("had no room (i-viewer had"),
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
        explanation.contains("it must not run twice"),
        "{explanation}"
    );
}

#[test]
fn verify_a_decision_from_old_knowledge_is_explained() {
    let fleet = Fleet::start("explain-outage");
    fleet.store.set_fault(StoreFault::Unresponsive);
    let lines = || std::fs::read_to_string(fleet.instance.log_path()).unwrap();
    eventually("the outage is noticed", || {
        lines().contains("store-unreachable")
    });
    // The zone's evacuation does not reach the instance, which goes on sending there.
    fleet.store.evacuate("khomas-a", true);
    let began = Instant::now();
    eventually("its knowledge is old", || {
        began.elapsed() > Duration::from_secs(3)
    });
    assert_eq!(fleet.request("blind", true), Some(200));
    let explanation = fleet.explanation("blind");
    assert!(
        explanation.contains("by what the store said"),
        "{explanation}"
    );
    assert!(explanation.contains("lost at"), "{explanation}");
    assert!(
        explanation.contains("the store does not answer"),
        "{explanation}"
    );
}
