//! Starts instances as separate processes with mock platform services.

use foxtide_testing::{
    HttpAnswer,
    StoreOptions,
    StoreServer,
    UpstreamOptions,
    UpstreamServer,
    http_call, //
};
use http_types::Method;
use std::fs;
use std::io::{
    BufRead,
    BufReader, //
};
use std::net::SocketAddr;
use std::process::{
    Child,
    Command,
    Stdio, //
};
use std::time::{
    Duration,
    Instant, //
};

const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `check` returns a value. Panics after [`TIMEOUT`].
pub(crate) async fn wait_for<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for {what}");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// A store with one organisation, and the upstream of its service.
pub(crate) struct Platform {
    pub(crate) store: StoreServer,
    pub(crate) upstream: UpstreamServer,
}

impl Platform {
    /// Starts the mock services.
    pub(crate) async fn start() -> Self {
        let store = StoreServer::start(StoreOptions::default()).await.unwrap();
        let upstream = UpstreamServer::start(UpstreamOptions::default())
            .await
            .unwrap();
        let document = organisation(upstream.address());
        store.set_value("foxtide/organisations/hamutenya", document);
        Self { store, upstream }
    }
}

fn organisation(upstream: SocketAddr) -> String {
    serde_json::json!({
        "schema_version": 1, "organisation": "hamutenya", "revision": 1, "change_id": "c1",
        "regions": [{
            "region": "khomas", "availability_zones": ["khomas-a"], "sold_rate_rps": 10_000,
        }],
        "links": [],
        "services": [{
            "service": "notices",
            "contract": {
                "homes": [{"region": "khomas", "share": 1}], "spill_limit_share": 0.2,
                "shift_cap_share_per_s": 0.02, "drain_window_s": 30, "deadline_ms": 20_000,
                "priority": "headroom", "idempotent_methods": ["GET"],
            },
            "upstreams": [{
                "upstream": "notices-1", "address": upstream, "region": "khomas",
                "availability_zone": "khomas-a", "slots": 4, "connections": 360,
            }],
        }],
    })
    .to_string()
}

/// Sends a notice with a key until its outcome is not `not-run`. Returns `None`
/// if no complete response arrives.
pub(crate) async fn send_notice(caller: SocketAddr, key: String) -> Option<HttpAnswer> {
    let path = "/hamutenya/notices/new";
    let headers = [("idempotency-key", key.as_str())];
    loop {
        let call = http_call(caller, Method::Post, path, &headers, b"lintel");
        let answer = call.await.ok()?;
        if answer.header("foxtide-outcome") != Some("not-run") {
            return Some(answer);
        }
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// One instance in its own process, killed when it is dropped.
pub(crate) struct InstanceProcess {
    name: String,
    child: Child,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
}

impl InstanceProcess {
    /// Starts an instance and waits until it serves.
    pub(crate) async fn start(name: &str, platform: &Platform, seeds: &[SocketAddr]) -> Self {
        // Concurrent tests may use the same instance names.
        let store_port = platform.store.address().port();
        let directory = env!("CARGO_TARGET_TMPDIR");
        let file = format!("{directory}/at-most-once-{name}-{store_port}.jsonc");
        fs::write(&file, settings(name, platform, seeds)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_foxtide"))
            .args(["--settings", &file])
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (caller, admin, peer) = addresses(&mut child);
        let name = name.to_owned();
        let instance = Self {
            name,
            child,
            caller,
            peer,
        };
        wait_for("the instance to be ready", || async {
            let ready = http_call(admin, Method::Get, "/readyz", &[], b"").await;
            ready.ok().filter(|answer| answer.status == 200)
        })
        .await;
        instance
    }

    /// Returns the owner name that keys minted for this process contain.
    pub(crate) async fn owner(&self) -> String {
        let path = "/v1/lookup?organisation=hamutenya&service=notices";
        let answer = http_call(self.caller, Method::Get, path, &[], b"").await;
        let owner = answer.unwrap();
        owner.header("foxtide-owner").unwrap().to_owned()
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Kills the process and starts another with the same name.
    pub(crate) async fn replace(&mut self, platform: &Platform, seeds: &[SocketAddr]) {
        self.kill();
        *self = Self::start(&self.name.clone(), platform, seeds).await;
    }

    /// Suspends the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a paused process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let process = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &process]).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(name: &str, platform: &Platform, seeds: &[SocketAddr]) -> String {
    let any_port = serde_json::json!({"listen": "127.0.0.1:0"});
    serde_json::json!({
        "instance": name, "region": "khomas", "availability_zone": "khomas-a",
        "cluster": "test", "caller": any_port, "admin": any_port, "peer": any_port,
        "store_address": platform.store.address(), "seed_peers": seeds,
    })
    .to_string()
}

/// Reads the addresses from the start event, then forwards the log to standard
/// error.
fn addresses(child: &mut Child) -> (SocketAddr, SocketAddr, SocketAddr) {
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let started = log.find_map(|line| line.ok().filter(|line| line.contains("caller=")));
    std::thread::spawn(move || log.for_each(|line| eprintln!("{}", line.unwrap_or_default())));
    let started = started.expect("the process logs its addresses");
    let field = |name: &str| {
        let mut words = started.split([' ', '"']);
        let value = words.find_map(|word| word.strip_prefix(name)).unwrap();
        value.parse().unwrap()
    };
    (field("caller="), field("admin="), field("peer="))
}
