//! Test harness: an entry with callers and fake upstreams on raw sockets.

#![allow(dead_code)] // Each test file uses a part of it.

use foxtide_core::events::{
    Event,
    EventCode,
    EventFilter, //
};
use foxtide_core::idempotency::OwnerId;
use foxtide_core::ids::{
    InstanceId,
    OrganisationId,
    RegionId, //
};
use foxtide_core::organisation::{
    HomeRegion,
    Link,
    Organisation,
    Priority, //
};
use foxtide_core::steering::SteeringOptions;
use foxtide_core::units::Share;
use foxtide_entry::{
    Admin,
    AdminPage,
    Clock,
    Dependencies,
    Directory,
    Entry,
    EntryOptions,
    ServingInstance,
    SystemClock,
    TrafficOptions,
    TrafficTables,
    Workers, //
};
use foxtide_events::{
    Explainer,
    Recorder,
    RecorderOptions, //
};
use std::io::{
    Read,
    Write, //
};
use std::net::{
    IpAddr,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::atomic::{
    AtomicBool,
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::time::{
    Duration,
    Instant, //
};

pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for a condition; panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Reads a head and the body that its `content-length` states.
pub(crate) fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(": "))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .map_or(0, |(_, value)| value.parse().unwrap());
            if body.len() >= length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4_096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(size_bytes) => bytes.extend_from_slice(&chunk[..size_bytes]),
        }
    }
}

/// Fake upstream whose connections are served by a closure.
pub(crate) struct RawUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Arc<AtomicUsize>,
}

impl RawUpstream {
    /// Starts an upstream; `serve` gets each connection and its number,
    /// starting at 1.
    pub(crate) fn start(serve: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(ANY_PORT).unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        let serve = Arc::new(serve);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                let serve = Arc::clone(&serve);
                std::thread::spawn(move || serve(stream.unwrap(), number));
            }
        });
        Self {
            address,
            connections,
        }
    }

    /// Starts an upstream that answers each request with these bytes.
    pub(crate) fn answering(answer: &'static [u8]) -> Self {
        Self::start(move |mut stream, _| {
            while read_message(&mut stream).is_some() {
                stream.write_all(answer).unwrap();
            }
        })
    }
}

/// Dependencies of a test entry.
pub(crate) struct TestDependencies {
    traffic: TrafficTables,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    pub(crate) has_left: AtomicBool,
    instances: Arc<[ServingInstance]>,
    /// The region that all callers belong to.
    pub(crate) origin: Mutex<Option<RegionId>>,
}

impl Dependencies for TestDependencies {
    type Directory = Self;
    type Clock = SystemClock;
    type Admin = Self;

    fn directory(&self) -> &Self {
        self
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }

    fn admin(&self) -> &Self {
        self
    }

    fn traffic(&self) -> &TrafficTables {
        &self.traffic
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn explainer(&self) -> &Explainer {
        &self.explainer
    }

    fn owner(&self) -> &OwnerId {
        &self.owner
    }
}

impl Directory for TestDependencies {
    fn instances(&self) -> Arc<[ServingInstance]> {
        if self.has_left.load(Ordering::SeqCst) {
            return Arc::new([]);
        }
        Arc::clone(&self.instances)
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        let mut known = self.instances.iter();
        let known = known.find(|known| known.instance == *instance);
        known.map(|known| known.address)
    }

    fn client_region(&self, _: &OrganisationId, _: IpAddr) -> Option<RegionId> {
        None
    }

    fn client_origin(&self, _: IpAddr) -> Option<RegionId> {
        self.origin.lock().unwrap().clone()
    }

    fn leave(&self) {
        self.has_left.store(true, Ordering::SeqCst);
    }
}

impl Admin for TestDependencies {
    fn page(&self, path: &str, _query: Option<&str>) -> Option<AdminPage> {
        (path == "/metrics").then(|| AdminPage {
            content_type: "text/plain",
            body: b"metric 1\n".to_vec(),
        })
    }

    fn is_ready(&self) -> bool {
        true
    }
}

impl TestDependencies {
    fn new() -> Self {
        let instance: ServingInstance = ServingInstance {
            instance: "entry-1".parse().unwrap(),
            owner: "entry-1.0000000000000007".parse().unwrap(),
            address: ANY_PORT,
            region: "khomas".parse().unwrap(),
            availability_zone: "khomas-a".parse().unwrap(),
        };
        let other = ServingInstance {
            instance: "entry-2".parse().unwrap(),
            owner: "entry-2.00000000000000aa".parse().unwrap(),
            region: "erongo".parse().unwrap(),
            ..instance.clone()
        };
        let options = TrafficOptions {
            steering: SteeringOptions {
                startup_wait: Duration::ZERO,
                ..SteeringOptions::default()
            },
            ..TrafficOptions::new("khomas".parse().unwrap())
        };
        Self {
            traffic: TrafficTables::new(options),
            clock: SystemClock::default(),
            recorder: Recorder::new(instance.instance.clone(), RecorderOptions::default()),
            explainer: Explainer::default(),
            owner: instance.owner.clone(),
            has_left: AtomicBool::new(false),
            instances: Arc::new([other, instance]),
            origin: Mutex::default(),
        }
    }
}

/// Moves the second upstream to a second region, which becomes another home.
pub(crate) fn with_second_region(organisation: &mut Organisation) {
    let mut region = organisation.regions[0].clone();
    region.region = "erongo".parse().unwrap();
    region.availability_zones = vec!["erongo-a".parse().unwrap()];
    let link = Link {
        from: "khomas".parse().unwrap(),
        to: region.region.clone(),
        sold_rate_rps: region.sold_rate_rps,
        delay_ms: 35.0,
    };
    let service = &mut organisation.services[0];
    service.upstreams[1].region = region.region.clone();
    service.upstreams[1].availability_zone = region.availability_zones[0].clone();
    let share = Share::clamped(0.5);
    service.contract.homes[0].share = share;
    service.contract.homes.push(HomeRegion {
        region: region.region.clone(),
        share,
    });
    organisation.regions.push(region);
    organisation.links.push(link);
}

/// Running entry with its dependencies.
pub(crate) struct Harness {
    pub(crate) entry: Arc<Entry<TestDependencies>>,
    pub(crate) deps: Arc<TestDependencies>,
    pub(crate) workers: Workers,
}

impl Harness {
    /// Starts an entry with these upstreams.
    pub(crate) fn start(upstreams: &[SocketAddr]) -> Self {
        Self::start_with(upstreams, EntryOptions::default())
    }

    /// Starts an entry with these upstreams and options, on free ports.
    pub(crate) fn start_with(upstreams: &[SocketAddr], options: EntryOptions) -> Self {
        Self::start_organisation(organisation(upstreams), options)
    }

    /// Starts an entry with these upstreams and a changed organisation.
    pub(crate) fn start_changed(upstreams: &[SocketAddr], change: fn(&mut Organisation)) -> Self {
        let mut organisation = organisation(upstreams);
        change(&mut organisation);
        Self::start_organisation(organisation, EntryOptions::default())
    }

    fn start_organisation(organisation: Organisation, options: EntryOptions) -> Self {
        let options = EntryOptions {
            caller_address: ANY_PORT,
            admin_address: ANY_PORT,
            ..options
        };
        let deps = Arc::new(TestDependencies::new());
        let now = deps.clock.now();
        deps.traffic.configure(&Arc::new(organisation), now);
        let workers = Workers::start(2).unwrap();
        let entry = Entry::start(options, Arc::clone(&deps), &workers.executor()).unwrap();
        Self {
            entry: Arc::new(entry),
            deps,
            workers,
        }
    }

    /// Connects as a caller.
    pub(crate) fn caller(&self) -> Caller {
        Caller::connect(self.entry.caller_address())
    }

    /// Connects as an operator.
    pub(crate) fn operator(&self) -> Caller {
        Caller::connect(self.entry.admin_address())
    }

    /// Returns the recorded events of this code.
    pub(crate) fn recorded(&self, code: EventCode) -> Vec<Event> {
        let mut events = self.deps.recorder.select(&EventFilter::default());
        events.retain(|event| event.code == code);
        events
    }
}

/// A connection to an entry.
pub(crate) struct Caller {
    pub(crate) stream: TcpStream,
}

impl Caller {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self { stream }
    }

    pub(crate) fn send(&mut self, text: &str) {
        // An early refusal may reset the connection during a long request.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Reads one answer; `None` if the connection closed first.
    pub(crate) fn answer(&mut self) -> Option<String> {
        read_message(&mut self.stream)
    }

    /// Sends a request and reads its answer.
    pub(crate) fn request(&mut self, text: &str) -> String {
        self.send(text);
        self.answer().expect("an answer")
    }

    /// Returns whether the entry has closed the connection.
    pub(crate) fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
            || matches!(self.stream.take_error(), Ok(Some(_)))
    }
}

/// Returns a `GET` of the viewer service.
pub(crate) fn get(path: &str) -> String {
    format!("GET /hamutenya/viewer{path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Returns a non-idempotent `POST` to the viewer service.
pub(crate) fn post(path: &str, body: &str) -> String {
    format!(
        "POST /hamutenya/viewer{path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Asserts that an answer is a refusal with this status and outcome.
pub(crate) fn assert_refused(answer: &str, status: u16, outcome: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("foxtide-outcome: {outcome}\r\n")),
        "{answer}"
    );
    assert!(answer.contains("retry-after: "), "{answer}");
}

/// Gives latency priority, so that idempotent requests are hedged.
pub(crate) fn prioritise_latency(organisation: &mut Organisation) {
    for service in &mut organisation.services {
        service.contract.priority = Priority::Latency;
    }
}

fn organisation(upstreams: &[SocketAddr]) -> Organisation {
    let upstreams: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(number, address)| {
            serde_json::json!({
                "upstream": format!("viewer-{number}"), "address": address,
                "region": "khomas", "availability_zone": "khomas-a",
                "slots": 4, "connections": 360,
            })
        })
        .collect();
    let document = serde_json::json!({
        "schema_version": 1, "organisation": "hamutenya", "revision": 7, "change_id": "c7",
        "regions": [{
            "region": "khomas", "availability_zones": ["khomas-a"], "sold_rate_rps": 1000000,
        }],
        "links": [],
        "services": [{
            "service": "viewer",
            "contract": {
                "homes": [{"region": "khomas", "share": 1}], "spill_limit_share": 0.2,
                "shift_cap_share_per_s": 0.02, "drain_window_s": 30, "deadline_ms": 2000,
                "priority": "headroom", "idempotent_methods": ["GET", "HEAD"],
            },
            "upstreams": upstreams,
        }],
    });
    serde_json::from_value(document).unwrap()
}
