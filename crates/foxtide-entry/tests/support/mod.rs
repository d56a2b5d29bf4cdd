//! An entry over raw sockets: fakes that answer byte for byte as a test says.

#![allow(dead_code)] // Each test file uses its part.

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
    Directory,
    Entry,
    EntryOptions,
    Parts,
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
const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for a condition; panics where it never comes.
pub(crate) fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "waited in vain for {what}");
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

/// An upstream whose every connection a closure drives.
pub(crate) struct RawUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) connections: Arc<AtomicUsize>,
}

impl RawUpstream {
    /// Starts an upstream; `drive` gets each connection and its number from 1 on.
    pub(crate) fn start(drive: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(ANY_PORT).unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&connections);
        let drive = Arc::new(drive);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                let drive = Arc::clone(&drive);
                std::thread::spawn(move || drive(stream.unwrap(), number));
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

/// The parts of a test's entry.
pub(crate) struct TestParts {
    traffic: TrafficTables,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    pub(crate) left: AtomicBool,
    instances: Arc<[ServingInstance]>,
    /// The region that all callers belong to.
    pub(crate) origin: Mutex<Option<RegionId>>,
}

impl Parts for TestParts {
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

impl Directory for TestParts {
    fn instances(&self) -> Arc<[ServingInstance]> {
        if self.left.load(Ordering::SeqCst) {
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
        self.left.store(true, Ordering::SeqCst);
    }
}

impl Admin for TestParts {
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

impl TestParts {
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
            left: AtomicBool::new(false),
            instances: Arc::new([other, instance]),
            origin: Mutex::default(),
        }
    }
}

/// Moves the second upstream into a region of its own, another home.
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

/// A running entry with its parts.
pub(crate) struct World {
    pub(crate) entry: Arc<Entry<TestParts>>,
    pub(crate) parts: Arc<TestParts>,
    pub(crate) workers: Workers,
}

impl World {
    /// Starts an entry before these upstreams.
    pub(crate) fn start(upstreams: &[SocketAddr]) -> Self {
        Self::start_with(upstreams, EntryOptions::default())
    }

    /// Starts an entry before these upstreams, with these options but for the
    /// ports.
    pub(crate) fn start_with(upstreams: &[SocketAddr], options: EntryOptions) -> Self {
        Self::start_organisation(organisation(upstreams), options)
    }

    /// Starts an entry before these upstreams, the organisation changed.
    pub(crate) fn start_as(upstreams: &[SocketAddr], change: fn(&mut Organisation)) -> Self {
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
        let parts = Arc::new(TestParts::new());
        let now = parts.clock.now();
        parts.traffic.configure(&Arc::new(organisation), now);
        let workers = Workers::start(2).unwrap();
        let entry = Entry::start(options, Arc::clone(&parts), &workers.executor()).unwrap();
        Self {
            entry: Arc::new(entry),
            parts,
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
        let mut events = self.parts.recorder.select(&EventFilter::default());
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
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { stream }
    }

    pub(crate) fn send(&mut self, text: &str) {
        // What is refused early may reset the connection under a long request.
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Reads one answer; nothing where the connection closed first.
    pub(crate) fn answer(&mut self) -> Option<String> {
        read_message(&mut self.stream)
    }

    /// Sends a request and reads its answer.
    pub(crate) fn ask(&mut self, text: &str) -> String {
        self.send(text);
        self.answer().expect("an answer")
    }

    /// Tells whether the entry has closed the connection.
    pub(crate) fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
            || matches!(self.stream.take_error(), Ok(Some(_)))
    }
}

/// Returns a `GET` of the viewer service.
pub(crate) fn get(path: &str) -> String {
    format!("GET /hamutenya/viewer{path} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Returns a `POST` to the viewer service, which must not run twice.
pub(crate) fn post(path: &str, body: &str) -> String {
    format!(
        "POST /hamutenya/viewer{path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Asserts that an answer has this status and this outcome.
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

/// Makes the services weigh latency most, so that their reads are hedged.
pub(crate) fn latency_first(organisation: &mut Organisation) {
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
