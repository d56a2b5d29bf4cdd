//! Settings of the mesh.

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

/// Who an instance is and where it stands.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, unique in the fleet.
    pub instance: InstanceId,
    /// The region it stands in.
    pub region: RegionId,
    /// The availability zone it stands in.
    pub availability_zone: AvailabilityZoneId,
    /// Where it listens for other instances, UDP and TCP; port 0 takes any.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// The process in which it runs, for idempotency keys.
    pub process: ProcessNumber,
}

/// Settings of the mesh.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// The fleet's name; messages of other fleets are dropped. Default
    /// `foxtide`.
    pub cluster: String,
    /// The membership protocol's settings.
    pub membership: MembershipOptions,
    /// The settings of the spreading of load.
    pub load: LoadOptions,
    /// Whether the instance is no member for callers until
    /// [`MeshHandle::serve`](crate::MeshHandle::serve). Default no.
    pub joins_first: bool,
    /// Time between two steps of the protocol. Default 50 ms.
    pub tick_interval: Duration,
    /// How long connecting to a peer may take. Default 1 s.
    pub connect_timeout: Duration,
    /// How long an exchange with a peer may take. Default 5 s.
    pub exchange_timeout: Duration,
    /// Peers from which a starting instance takes what they know. Default 3.
    pub join_peers: usize,
    /// Instances of each availability zone that watch the store. Default 2.
    pub watchers_per_zone: usize,
    /// The steady clock. Default: one that begins with the call.
    pub clock: SteadyClock,
    /// Seed of all random choices; `None` draws one. Default `None`.
    pub seed: Option<u64>,
    /// The recorder whose hybrid clock goes along with every message, so that
    /// events are placed after those that caused them. Default: none.
    pub recorder: Option<Recorder>,
    /// Messages to lose, for tests and measurements. Default: none.
    pub faults: Faults,
}

impl Default for MeshOptions {
    fn default() -> Self {
        Self {
            cluster: String::from("foxtide"),
            membership: MembershipOptions::default(),
            load: LoadOptions::default(),
            joins_first: false,
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
