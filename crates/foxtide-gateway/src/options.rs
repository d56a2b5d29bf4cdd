//! Where an instance stands and what binds it.

use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use foxtide_core::quota::QuotaBounds;
use foxtide_core::registry::Requester;
use foxtide_core::units::ByteSize;
use std::collections::BTreeMap;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// Everything that an instance is told at its start.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The instance's place.
    pub place: Place,
    /// Its listeners.
    pub addresses: Addresses,
    /// Peers to ask before the store has named any.
    pub seed_peers: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, and not this instance alone.
    pub is_first_start: bool,
    /// The memory of the process.
    pub memory: ByteSize,
    /// The megabits a second of the machine's link; 0 where that is not known.
    pub link_mbps: u32,
    /// What binds all instances together.
    pub bounds: Bounds,
    /// How upstreams' coordinators are asked.
    pub admission: AdmissionOptions,
}

/// How long an instance waits for the coordinators of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// How long a coordinator may take to answer before the request is sent without
    /// its word.
    pub answer_time: Duration,
    /// How long a coordinator that did not answer is not asked again.
    pub silent_time: Duration,
}

impl Default for AdmissionOptions {
    /// A round trip within a region is 2 ms, and an instance that shares its core is
    /// late by a few tens. A dead coordinator's lease lapses after 2.2 s, and each
    /// question in vain delays a request by the answer's time.
    fn default() -> Self {
        Self {
            answer_time: Duration::from_millis(40),
            silent_time: Duration::from_millis(500),
        }
    }
}

/// Where an instance stands, and the places that there are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Its region.
    pub region: RegionId,
    /// The region of each availability zone.
    pub regions: BTreeMap<AvailabilityZoneId, RegionId>,
}

impl Place {
    /// Returns the region of an availability zone, if it is known.
    pub fn region_of(&self, zone: &AvailabilityZoneId) -> Option<&RegionId> {
        self.regions.get(zone)
    }

    /// Returns the instance as one that asks others.
    pub(crate) fn requester(&self) -> Requester<'_> {
        Requester {
            instance: &self.instance,
            availability_zone: &self.availability_zone,
            region: &self.region,
        }
    }

    /// Returns the number of regions.
    pub(crate) fn regions_count(&self) -> usize {
        let mut regions: Vec<&RegionId> = self.regions.values().collect();
        regions.sort();
        regions.dedup();
        regions.len()
    }
}

/// The listeners of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether the instance is ready.
    pub readiness: SocketAddr,
    /// Where callers look up instances; may be one of the others.
    pub directory: SocketAddr,
    /// Where other instances ask; never one of the others.
    pub peers: SocketAddr,
    /// Where other instances send datagrams.
    pub datagrams: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            callers: any_port,
            readiness: any_port,
            directory: any_port,
            peers: any_port,
            datagrams: any_port,
        }
    }
}

/// Bounds that all instances keep together; the platform's settings set them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest time to live of a look-up's answer.
    pub lookup_ttl_max: Duration,
    /// The time between the stop signal and the process's forced end.
    pub grace: Duration,
    /// Repeats allowed for each request to a service.
    pub retry_ratio: f64,
    /// Repeats allowed on top of that in a window, by all instances.
    pub retry_burst: f64,
    /// The factor by which a cold upstream's rate may be exceeded.
    pub cold_overshoot: f64,
    /// Requests a second to a cold upstream allowed on top of that.
    pub cold_slack_rps: f64,
    /// By how much organisations' quotas may be exceeded.
    pub quota: QuotaBounds,
}

impl Default for Bounds {
    /// The bounds of today's deployments.
    fn default() -> Self {
        Self {
            lookup_ttl_max: Duration::from_secs(5),
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_burst: 60.0,
            cold_overshoot: 1.5,
            cold_slack_rps: 5.0,
            quota: QuotaBounds::default(),
        }
    }
}
