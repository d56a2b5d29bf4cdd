//! An instance's request path alone, before upstreams in this process.

use foxtide_core::idempotency::{OwnerId, ProcessNumber};
use foxtide_core::ids::{InstanceId, OrganisationId, RegionId};
use foxtide_core::steering::SteeringOptions;
use foxtide_entry::{
    Admin, AdminPage, Clock, Directory, DrainOptions, Entry, EntryOptions, Parts, ServingInstance,
    SystemClock, TrafficOptions, TrafficTables, Workers,
};
use foxtide_events::{Explainer, Recorder, RecorderOptions};
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How many instances the directory knows, as many as a tenant has today.
const INSTANCES: u16 = 10;

/// What the request path works with here.
pub(crate) struct InstanceParts {
    traffic: TrafficTables,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    instances: Arc<[ServingInstance]>,
}

/// A running request path.
pub(crate) struct Instance {
    /// The entry.
    pub(crate) entry: Arc<Entry<InstanceParts>>,
    /// The pool that runs it, which ends when this is dropped.
    _workers: Workers,
}

impl Instance {
    /// Starts a request path with this many workers before these upstreams.
    pub(crate) fn start(threads: usize, upstreams: &[SocketAddr]) -> Self {
        let parts = InstanceParts::new();
        let document = serde_json::from_value(document(upstreams)).expect("a valid document");
        parts
            .traffic
            .configure(&Arc::new(document), parts.clock.now());
        let workers = Workers::start(threads).expect("threads can be started");
        let options = EntryOptions {
            caller_address: ANY_PORT,
            admin_address: ANY_PORT,
            lookup_ttl: Duration::from_millis(200),
            drain: DrainOptions {
                margin: Duration::from_millis(100),
                ..DrainOptions::default()
            },
            ..EntryOptions::default()
        };
        let entry = Entry::start(options, Arc::new(parts), &workers.executor());
        Self {
            entry: Arc::new(entry.expect("ports can be bound")),
            _workers: workers,
        }
    }
}

impl InstanceParts {
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
        let own = instances[0].owner.clone();
        let options = TrafficOptions {
            steering: SteeringOptions {
                startup_wait: Duration::ZERO,
                ..SteeringOptions::default()
            },
            ..TrafficOptions::new(origin)
        };
        Self {
            traffic: TrafficTables::new(options),
            clock: SystemClock::default(),
            recorder: Recorder::new(own.instance.clone(), RecorderOptions::default()),
            explainer: Explainer::default(),
            owner: own,
            instances,
        }
    }
}

impl Parts for InstanceParts {
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

impl Directory for InstanceParts {
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

impl Admin for InstanceParts {
    fn page(&self, _path: &str, _query: Option<&str>) -> Option<AdminPage> {
        None
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// A service whose limits are out of reach, so that the path alone is measured.
fn document(upstreams: &[SocketAddr]) -> serde_json::Value {
    let upstream = |(number, address): (usize, &SocketAddr)| {
        json!({
            "upstream": format!("viewer-{number}"), "address": address, "region": "khomas",
            "availability_zone": "khomas-a", "slots": 1_000, "connections": 10_000,
        })
    };
    let upstreams: Vec<_> = upstreams.iter().enumerate().map(upstream).collect();
    json!({
        "schema_version": 1, "organisation": "hamutenya", "revision": 1, "change_id": "c1",
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
