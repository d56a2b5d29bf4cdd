//! One instance as the fleet knows it.

use crate::idempotency::ProcessNumber;
use crate::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use std::fmt;
use std::net::SocketAddr;

/// What the fleet believes of an instance, in the order in which a later
/// belief replaces an earlier one of the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes and has not yet all that it needs to serve callers.
    Joining,
    /// It answers probes and serves callers.
    Alive,
    /// It missed a probe and has not yet objected; callers may still use it.
    Suspect,
    /// It announced its departure: it takes no new callers and ends its work.
    Leaving,
    /// It is gone.
    Dead,
}

impl MemberState {
    /// Returns whether callers may be sent to an instance in this state.
    pub const fn is_usable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns whether the process is thought to run.
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

/// Counts how often an instance asserted that it lives.
///
/// Only the instance itself raises it: to its start time when it starts, and
/// by one when it contradicts a belief (SWIM, section 4.2).
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

    /// Returns the incarnation that contradicts this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// An instance of the fleet and what is believed of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// The region it stands in.
    pub region: RegionId,
    /// The availability zone it stands in.
    pub availability_zone: AvailabilityZoneId,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// The process in which it runs; idempotency keys name it.
    pub process: ProcessNumber,
    /// The newest incarnation known.
    pub incarnation: Incarnation,
    /// What is believed of that incarnation.
    pub state: MemberState,
}

impl Member {
    /// Returns whether this belief replaces `other` of the same instance.
    ///
    /// The order is total, so that all instances end with the same belief
    /// whatever the order in which they hear of it.
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
