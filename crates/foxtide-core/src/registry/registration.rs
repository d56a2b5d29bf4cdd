//! What an upstream says of itself.

use crate::ids::{
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
use crate::time::WallTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its name, which it may have had before a restart.
    pub upstream: UpstreamId,
    /// When it started, by its own clock; nothing where upstreams do not tell, and a
    /// restarted one has another name.
    pub born_at: Option<WallTime>,
    /// The service.
    pub service: ServiceId,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: RegionId,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// How much longer it is cold, counted from when it said so.
    pub cold_remaining: Duration,
}

impl Registration {
    /// Tells whether another registration is of the same incarnation: one that restarted
    /// under its name holds and knows nothing of before.
    pub fn is_incarnation_of(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.born_at == other.born_at
    }
}
