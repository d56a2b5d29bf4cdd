//! Registrations of upstreams.

use crate::ids::{
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use crate::time::WallTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It accepts requests.
    Ready,
    /// It is leaving and accepts no new requests.
    Draining,
}

/// Maximum number of slots of an upstream: a port for each connection from one address.
pub const SLOTS_MAX: u32 = 65_536;

/// The registration of an upstream's incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Name of the upstream, which may persist across restarts.
    pub upstream: UpstreamId,
    /// Start time by its own clock; `None` if upstreams do not report it and get
    /// another name at each restart.
    pub born_at: Option<WallTime>,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Address for connections.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub availability_zone: AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: RegionId,
    /// Number of requests that it processes concurrently, 1 to [`SLOTS_MAX`].
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Remaining cold phase at the time of the registration.
    pub cold_remaining: Duration,
}

impl Registration {
    /// Returns whether both registrations are of the same incarnation; a restarted
    /// upstream has no state of an earlier one.
    pub fn is_incarnation_of(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.born_at == other.born_at
    }
}
