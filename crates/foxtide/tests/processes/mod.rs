//! Real instances, each its own process, before stand-ins of the platform.

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

const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// Waits until `look` finds something; panics where it never does.
pub(crate) async fn wait_for<T, F>(what: &str, mut look: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(started.elapsed() < PATIENCE, "waited in vain for {what}");
        smol::Timer::after(POLL).await;
    }
}

/// The platform: a store with one organisation, and its upstream.
pub(crate) struct Platform {
    pub(crate) store: StoreServer,
    pub(crate) upstream: UpstreamServer,
}

impl Platform {
    /// Starts the stand-ins.
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

/// Files a notice under a key, again for as long as it is refused as not run;
/// nothing where no whole answer came.
pub(crate) async fn file(caller: SocketAddr, key: String) -> Option<HttpAnswer> {
    let path = "/hamutenya/notices/new";
    let headers = [("idempotency-key", key.as_str())];
    loop {
        let call = http_call(caller, Method::Post, path, &headers, b"lintel");
        let answer = call.await.ok()?;
        if answer.header("foxtide-outcome") != Some("not-run") {
            return Some(answer);
        }
        smol::Timer::after(POLL).await;
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
        // Tests run side by side and name their instances alike.
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

    /// Asks for the name that keys for this process carry.
    pub(crate) async fn owner(&self) -> String {
        let path = "/v1/lookup?organisation=hamutenya&service=notices";
        let answer = http_call(self.caller, Method::Get, path, &[], b"").await;
        let owner = answer.unwrap();
        owner.header("foxtide-owner").unwrap().to_owned()
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Kills the process and starts another of the same name.
    pub(crate) async fn replace(&mut self, platform: &Platform, seeds: &[SocketAddr]) {
        self.kill();
        *self = Self::start(&self.name.clone(), platform, seeds).await;
    }

    /// Stops the process without ending it, as a paused machine does.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets a paused process go on.
    pub(crate) fn wake(&self) {
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

/// Reads the addresses from the process's first event, and lets the rest of
/// its log flow on.
fn addresses(child: &mut Child) -> (SocketAddr, SocketAddr, SocketAddr) {
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let started = log.find_map(|line| line.ok().filter(|line| line.contains("caller=")));
    std::thread::spawn(move || log.for_each(|line| eprintln!("{}", line.unwrap_or_default())));
    let started = started.expect("the process tells its addresses");
    let field = |name: &str| {
        let mut words = started.split([' ', '"']);
        let value = words.find_map(|word| word.strip_prefix(name)).unwrap();
        value.parse().unwrap()
    };
    (field("caller="), field("admin="), field("peer="))
}
