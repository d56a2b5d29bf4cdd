//! What an upstream says of itself.

use crate::ids::{
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    UpstreamId, //
};
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
    /// The incarnation: a restarted upstream has another one.
    pub upstream: UpstreamId,
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
