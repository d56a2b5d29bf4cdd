//! The options of an instance.

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

/// The options of an instance.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The instance's name and location.
    pub place: Place,
    /// The listen addresses.
    pub addresses: Addresses,
    /// Peers to query before any is known from the store.
    pub seed_peers: Vec<SocketAddr>,
    /// The memory of the process.
    pub memory: ByteSize,
    /// The link speed of the machine in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// The bounds that all instances share.
    pub bounds: Bounds,
    /// The timeouts for coordinators of upstreams.
    pub admission: AdmissionOptions,
    /// Whether slow idempotent requests get a second attempt beside the first one, within the retry
    /// budget. Default: no.
    pub hedging: bool,
}

/// The timeouts for coordinators of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// How long a request waits for a coordinator's answer before it is sent without one: at
    /// least, and while the coordinator's round-trip time is not known.
    pub answer_time: Duration,
    /// How long a coordinator that repeatedly did not answer is skipped.
    pub silent_time: Duration,
}

impl Default for AdmissionOptions {
    /// Covers a round trip within a region and the delay of a busy instance.
    fn default() -> Self {
        Self {
            answer_time: Duration::from_millis(40),
            silent_time: Duration::from_millis(500),
        }
    }
}

/// The name and location of an instance, and the known availability zones.
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

    /// Returns the instance as a requester, for sorting by proximity.
    pub(crate) fn requester(&self) -> Requester<'_> {
        Requester {
            instance: &self.instance,
            availability_zone: &self.availability_zone,
            region: &self.region,
        }
    }

    pub(crate) fn regions_count(&self) -> usize {
        let mut regions: Vec<&RegionId> = self.regions.values().collect();
        regions.sort();
        regions.dedup();
        regions.len()
    }
}

/// The listen addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks of the platform.
    pub readiness: SocketAddr,
    /// For look-ups of callers; may equal another address.
    pub directory: SocketAddr,
    /// For queries of other instances; never equals another address.
    pub peers: SocketAddr,
    /// For datagrams of other instances.
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

/// Bounds that all instances share, from the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum time to live of an answer to a look-up.
    pub lookup_ttl_max: Duration,
    /// The time between the stop signal and the process's forced end.
    pub grace: Duration,
    /// Retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Additional retries allowed in a window, by all instances.
    pub retry_burst: f64,
    /// The factor by which a cold upstream's rate may be exceeded.
    pub cold_overshoot: f64,
    /// Additional requests per second allowed to a cold upstream.
    pub cold_slack_rps: f64,
    /// The allowed excess over organisations' quotas.
    pub quota: QuotaBounds,
}

impl Default for Bounds {
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
