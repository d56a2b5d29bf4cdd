//! Identity of an instance and options of the mesh.

use crate::faults::Faults;
use foxtide_clock::SteadyClock;
use foxtide_core::dissemination::LoadOptions;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use foxtide_core::membership::MembershipOptions;
use foxtide_events::Recorder;
use std::net::SocketAddr;
use std::time::Duration;

/// Name, location and addresses of an instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// The region of the instance.
    pub region: RegionId,
    /// The availability zone of the instance.
    pub availability_zone: AvailabilityZoneId,
    /// The address for other instances, UDP and TCP; port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The number of the process, for idempotency keys.
    pub process: ProcessNumber,
}

/// Options of the mesh.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// The cluster's name; messages of other clusters are dropped. Default
    /// `foxtide`.
    pub cluster: String,
    /// Options of the membership protocol.
    pub membership: MembershipOptions,
    /// Options of the distribution of load records.
    pub load: LoadOptions,
    /// Whether the instance stays in the joining state, in which it gets no
    /// callers, until [`MeshHandle::serve`](crate::MeshHandle::serve). Default no.
    pub starts_joining: bool,
    /// Interval between protocol ticks. Default 50 ms.
    pub tick_interval: Duration,
    /// Timeout for connecting to a peer. Default 1 s.
    pub connect_timeout: Duration,
    /// Timeout for an exchange with a peer. Default 5 s.
    pub exchange_timeout: Duration,
    /// Number of peers with which a starting instance synchronises. Default 3.
    pub join_peers: usize,
    /// Number of instances per availability zone that watch the store. Default 2.
    pub watchers_per_zone: usize,
    /// The clock of the protocols. Default: one that starts with the options.
    pub clock: SteadyClock,
    /// Seed of all random choices; `None` uses a random one. Default `None`.
    pub seed: Option<u64>,
    /// The recorder whose hybrid clock is sent with every message, so that
    /// events sort after their causes. Default: none.
    pub recorder: Option<Recorder>,
    /// Injected network faults, for tests and benchmarks. Default: none.
    pub faults: Faults,
}

impl Default for MeshOptions {
    fn default() -> Self {
        Self {
            cluster: String::from("foxtide"),
            membership: MembershipOptions::default(),
            load: LoadOptions::default(),
            starts_joining: false,
            tick_interval: Duration::from_millis(50),
            connect_timeout: Duration::from_secs(1),
            exchange_timeout: Duration::from_secs(5),
            join_peers: 3,
            watchers_per_zone: 2,
            clock: SteadyClock::default(),
            seed: None,
            recorder: None,
            faults: Faults::default(),
        }
    }
}
