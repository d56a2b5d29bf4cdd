//! Member entries: identity, incarnation and state of an instance.

use crate::idempotency::ProcessNumber;
use crate::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use std::fmt;
use std::net::SocketAddr;

/// State of a member, in the order in which states of the same incarnation replace each
/// other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes but is not ready to serve callers.
    Joining,
    /// It answers probes and serves callers.
    Alive,
    /// It missed a probe and has not yet refuted the suspicion; callers may still use
    /// it.
    Suspect,
    /// It announced its departure: it accepts no new callers and completes its work.
    Leaving,
    /// It failed or stopped.
    Dead,
}

impl MemberState {
    /// Returns whether callers may be sent to an instance in this state.
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns whether the process is presumed to run.
    pub const fn is_running(self) -> bool {
        !matches!(self, Self::Dead)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Joining => "joining",
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// Version of an instance's own assertion that it is alive.
///
/// Only the instance itself raises it: to its start time when it starts, and by one
/// when it refutes an update (SWIM, section 4.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Returns the incarnation with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the incarnation that refutes this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// An instance and its last known state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of its availability zone.
    pub region: RegionId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZoneId,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Number of its process, which idempotency keys contain.
    pub process: ProcessNumber,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// State of that incarnation.
    pub state: MemberState,
}

impl Member {
    /// Returns whether this entry replaces `other` of the same instance.
    ///
    /// The order is total, so that all instances converge whatever the order in which
    /// updates arrive.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Returns this member in another state.
    pub fn in_state(&self, state: MemberState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}
