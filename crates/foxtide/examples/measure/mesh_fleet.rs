//! A fleet of mesh instances on the loopback interface, all in this process.

use foxtide_core::dissemination::Document;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::limits::{
    Claim,
    LimitUse, //
};
use foxtide_core::steering::{
    InstanceReport,
    ServiceReport, //
};
use foxtide_core::units::{
    RequestRate,
    Revision,
    Share, //
};
use foxtide_mesh::{
    Faults,
    Identity,
    Mesh,
    MeshHandle,
    MeshOptions, //
};
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

const SERVICES: [&str; 4] = ["viewer", "notices", "archive", "hazards"];

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum wait for a condition; a figure of this length means that it timed out.
const WAIT_MAX: Duration = Duration::from_secs(60);

pub(crate) struct Fleet {
    /// The running instances.
    pub(crate) handles: Vec<MeshHandle>,
    /// Injects packet loss and partitions.
    pub(crate) faults: Faults,
    topology: Topology,
    started: usize,
}

/// The numbers of regions and availability zones over which a fleet is spread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Topology {
    pub(crate) regions: usize,
    /// Availability zones, assigned to the regions in turn.
    pub(crate) zones: usize,
}

impl Topology {
    /// The topology of the target fleet of 600 instances.
    pub(crate) const TARGET: Self = Self {
        regions: 7,
        zones: 15,
    };

    /// The topology of the current deployment of one tenant.
    pub(crate) const CURRENT: Self = Self {
        regions: 3,
        zones: 6,
    };
}

impl Fleet {
    /// Starts instances and waits until each knows all others.
    pub(crate) fn start(instances: usize, topology: Topology) -> Self {
        let mut fleet = Self {
            handles: Vec::new(),
            faults: Faults::default(),
            topology,
            started: 0,
        };
        for _ in 0..instances {
            fleet.start_instance();
        }
        wait_until(|| fleet.is_converged());
        fleet
    }

    /// Starts another instance, with a new name.
    pub(crate) fn start_instance(&mut self) {
        let number = self.started;
        self.started += 1;
        let zone = number % self.topology.zones;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let identity = Identity {
            instance: format!("i{number}").parse().expect("valid name"),
            region: region(zone % self.topology.regions),
            availability_zone: format!("zone-{zone}").parse().expect("valid name"),
            peer_address: loopback,
            caller_address: loopback,
            process: ProcessNumber::new(1),
        };
        let options = MeshOptions {
            faults: self.faults.clone(),
            seed: Some(number as u64),
            ..MeshOptions::default()
        };
        let seeds = self.handles.iter().take(3);
        let seeds: Vec<_> = seeds.map(MeshHandle::peer_address).collect();
        let handle = Mesh::start(identity, &seeds, options);
        self.handles.push(handle.expect("free port on loopback"));
    }

    /// Stops an instance without notifying its peers; returns its handle.
    pub(crate) fn kill(&mut self, index: usize) -> MeshHandle {
        let killed = self.handles.swap_remove(index);
        killed.stop();
        killed
    }

    /// Returns whether every instance counts as many usable members as are running.
    pub(crate) fn is_converged(&self) -> bool {
        let count = self.handles.len();
        self.handles.iter().all(|handle| {
            let members = handle.members();
            let usable = members.iter().filter(|member| member.state.is_usable());
            usable.count() == count
        })
    }

    /// Waits until no instance has rumours left to send, such as those of the start.
    pub(crate) fn settle(&self) {
        wait_until(|| {
            let mut handles = self.handles.iter();
            handles.all(|handle| handle.waiting_rumours() == 0)
        });
    }

    /// Returns whether all instances have at least this revision.
    pub(crate) fn all_have_revision(&self, revision: u64) -> bool {
        self.handles.iter().all(|handle| {
            let documents = handle.configurations();
            documents
                .iter()
                .any(|document| document.revision >= Revision::new(revision))
        })
    }

    /// Publishes a load report of every instance; instances do so every second.
    pub(crate) fn publish_load(&self) {
        for handle in &self.handles {
            handle.publish_load(&organisation(), instance_report(self.topology.regions));
        }
    }

    /// Returns the indices of the instances that watch the store.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let indices = 0..self.handles.len();
        indices
            .filter(|index| self.handles[*index].is_watcher())
            .collect()
    }

    /// Partitions the first region from all others.
    pub(crate) fn partition_first_region(&self) {
        let first = region(0);
        let (isolated, rest): (Vec<_>, Vec<_>) = self
            .handles
            .iter()
            .partition(|handle| handle.own().region == first);
        let addresses = |side: Vec<&MeshHandle>| {
            let addresses = side.into_iter().map(MeshHandle::peer_address);
            addresses.collect::<Vec<_>>()
        };
        self.faults
            .partition(&[addresses(isolated), addresses(rest)]);
    }

    pub(crate) fn stop(self) {
        self.handles.iter().for_each(MeshHandle::stop);
    }
}

/// Waits until `condition` holds, at most [`WAIT_MAX`]; returns the time taken.
pub(crate) fn wait_until(condition: impl Fn() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() && started.elapsed() < WAIT_MAX {
        std::thread::sleep(POLL_INTERVAL);
    }
    started.elapsed()
}

/// Returns the organisation of all load reports and documents.
pub(crate) fn organisation() -> OrganisationId {
    "hamutenya".parse().expect("valid name")
}

/// Returns a document of typical size.
pub(crate) fn document(revision: u64) -> Document {
    const SIZE_BYTES: usize = 7_000;
    Document {
        organisation: organisation(),
        revision: Revision::new(revision),
        bytes: vec![7; SIZE_BYTES].into(),
    }
}

fn region(number: usize) -> RegionId {
    format!("region-{number}").parse().expect("valid name")
}

fn instance_report(regions: usize) -> InstanceReport {
    let rate = RequestRate::clamped(250.0);
    let share = Share::clamped(1.0 / regions as f64);
    let regions: Vec<_> = (0..regions).map(region).collect();
    let service_report = ServiceReport {
        demand_rps: rate,
        healthy_share: Some(Share::ONE),
        row: regions.iter().map(|id| (id.clone(), share)).collect(),
    };
    let service = |name: &str| -> ServiceId { name.parse().expect("valid name") };
    let services = SERVICES.map(|name| (service(name), service_report.clone()));
    let claim = Claim {
        planned_rps: rate,
        spilled_rps: RequestRate::ZERO,
    };
    let limit = LimitUse {
        claim,
        region_sharers: 1,
        link_sharers: 1,
    };
    InstanceReport {
        services: services.into(),
        limits: regions.into_iter().map(|id| (id, limit)).collect(),
        ..InstanceReport::default()
    }
}
