//! The request path of an instance with fixed dependencies, in front of
//! upstreams in the same process.

use super::load::LOOKUP_TTL;
use foxtide_core::idempotency::{
    OwnerId,
    ProcessNumber, //
};
use foxtide_core::ids::{
    InstanceId,
    OrganisationId,
    RegionId, //
};
use foxtide_core::steering::SteeringOptions;
use foxtide_entry::{
    Admin,
    AdminPage,
    Clock,
    Dependencies,
    Directory,
    DrainOptions,
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
use serde_json::json;
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The number of instances in the directory.
const INSTANCES: u16 = 10;

/// The dependencies of the request path: a fixed directory and an
/// administrative interface without pages.
pub(crate) struct EntryDependencies {
    traffic: TrafficTables,
    revision: AtomicU64,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    instances: Arc<[ServingInstance]>,
}

/// A running request path.
pub(crate) struct Instance {
    pub(crate) entry: Arc<Entry<EntryDependencies>>,
    pub(crate) dependencies: Arc<EntryDependencies>,
    /// The worker pool of the entry; dropping it stops the workers.
    _workers: Workers,
}

impl Instance {
    /// Starts a request path in front of `upstreams`.
    pub(crate) fn start(threads: usize, upstreams: &[SocketAddr]) -> Self {
        let dependencies = Arc::new(EntryDependencies::new());
        dependencies.configure(upstreams, &[]);
        let workers = Workers::start(threads).expect("threads can be started");
        let options = EntryOptions {
            caller_address: ANY_PORT,
            admin_address: ANY_PORT,
            lookup_ttl: LOOKUP_TTL,
            drain: DrainOptions {
                margin: Duration::from_millis(100),
                ..DrainOptions::default()
            },
            ..EntryOptions::default()
        };
        let entry = Entry::start(options, Arc::clone(&dependencies), &workers.executor());
        Self {
            entry: Arc::new(entry.expect("ports can be bound")),
            dependencies,
            _workers: workers,
        }
    }
}

impl EntryDependencies {
    /// Applies a configuration with these upstreams, of which those with the
    /// numbers in `drained` are draining.
    pub(crate) fn configure(&self, upstreams: &[SocketAddr], drained: &[usize]) {
        let revision = self.revision.fetch_add(1, Ordering::Relaxed) + 1;
        let document = document(upstreams, drained, revision);
        let document = serde_json::from_value(document).expect("a valid document");
        let document = Arc::new(document);
        self.traffic.configure(&document, self.clock.now());
    }

    fn new() -> Self {
        let origin: RegionId = "khomas".parse().expect("a valid name");
        let owner = |number: u16| OwnerId {
            instance: format!("entry-{number}").parse().expect("a valid name"),
            process: ProcessNumber::new(1),
        };
        let instance = |number: u16| ServingInstance {
            instance: owner(number).instance,
            owner: owner(number),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000 + number)),
            region: origin.clone(),
            availability_zone: "khomas-a".parse().expect("a valid name"),
        };
        let instances: Arc<[ServingInstance]> = (0..INSTANCES).map(instance).collect();
        let first_owner = instances[0].owner.clone();
        let options = TrafficOptions {
            steering: SteeringOptions {
                startup_wait: Duration::ZERO,
                ..SteeringOptions::default()
            },
            ..TrafficOptions::new(origin)
        };
        Self {
            traffic: TrafficTables::new(options),
            revision: AtomicU64::new(0),
            clock: SystemClock::default(),
            recorder: Recorder::new(first_owner.instance.clone(), RecorderOptions::default()),
            explainer: Explainer::default(),
            owner: first_owner,
            instances,
        }
    }
}

impl Dependencies for EntryDependencies {
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

impl Directory for EntryDependencies {
    fn instances(&self) -> Arc<[ServingInstance]> {
        Arc::clone(&self.instances)
    }

    fn address_of(&self, _: &InstanceId) -> Option<SocketAddr> {
        None
    }

    fn client_region(&self, _: &OrganisationId, _: IpAddr) -> Option<RegionId> {
        None
    }

    fn leave(&self) {}
}

impl Admin for EntryDependencies {
    fn page(&self, _path: &str, _query: Option<&str>) -> Option<AdminPage> {
        None
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// Returns an organisation whose limits are too high to affect the measurement.
fn document(upstreams: &[SocketAddr], drained: &[usize], revision: u64) -> serde_json::Value {
    let upstream = |(number, address): (usize, &SocketAddr)| {
        json!({
            "upstream": format!("viewer-{number}"), "address": address, "region": "khomas",
            "availability_zone": "khomas-a", "slots": 4_000, "connections": 10_000,
        })
    };
    let upstreams: Vec<_> = upstreams.iter().enumerate().map(upstream).collect();
    let drain = |number: &usize| {
        let upstream = format!("viewer-{number}");
        let target = json!({"upstream": {"service": "viewer", "upstream": upstream}});
        json!({"drain": upstream, "target": target, "start_us": 0})
    };
    let drains: Vec<_> = drained.iter().map(drain).collect();
    json!({
        "schema_version": 1, "organisation": "hamutenya", "revision": revision,
        "change_id": "c1", "drains": drains,
        "regions": [{
            "region": "khomas", "availability_zones": ["khomas-a"], "sold_rate_rps": 1e9,
        }],
        "links": [],
        "services": [{
            "service": "viewer",
            "contract": {
                "homes": [{"region": "khomas", "share": 1}], "spill_limit_share": 0.2,
                "shift_cap_share_per_s": 0.02, "drain_window_s": 30, "deadline_ms": 30_000,
                "priority": "headroom", "idempotent_methods": ["GET"],
            },
            "upstreams": upstreams,
        }],
    })
}
