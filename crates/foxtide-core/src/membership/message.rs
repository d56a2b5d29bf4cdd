//! Messages of the membership protocol, independent of their encoding.

use super::member::Member;
use crate::ids::{
    InstanceId,
    OrganisationId, //
};
use crate::units::Revision;
use std::net::SocketAddr;

/// Maximum datagram size in bytes; fits into one packet on common networks.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;

/// Bytes reserved in each datagram for its header, its message and one rumour that is
/// addressed to its receiver.
pub const HEADER_MAX_BYTES: usize = 500;

/// Upper bound of a member's encoded size without its names, in bytes.
const MEMBER_OVERHEAD_BYTES: usize = 90;

/// Upper bound of a short field's encoding overhead, in bytes.
const FIELD_BYTES: usize = 6;

/// Announces that an instance has a revision of an organisation's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Organisation of the configuration.
    pub organisation: OrganisationId,
    /// Revision that the sender has.
    pub revision: Revision,
}

/// A report that an instance did not answer the reporter's probes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspected instance, in state [`MemberState::Suspect`].
    ///
    /// [`MemberState::Suspect`]: super::member::MemberState::Suspect
    pub member: Member,
    /// The instance that reports it.
    pub by: InstanceId,
}

/// An update that is gossiped from instance to instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rumour {
    /// State of an instance.
    Member(Member),
    /// Suspicion of an instance.
    Suspicion(Suspicion),
    /// Revision that the sender can provide.
    Configuration(Announcement),
}

impl Rumour {
    /// Returns whether this rumour supersedes `older`.
    pub(crate) fn supersedes(&self, older: &Self) -> bool {
        match (self, older) {
            (Self::Member(one), Self::Member(two)) => one.instance == two.instance,
            (Self::Member(one), Self::Suspicion(two)) => one.instance == two.member.instance,
            (Self::Suspicion(one), Self::Suspicion(two)) => {
                one.member.instance == two.member.instance && one.by == two.by
            }
            (Self::Configuration(one), Self::Configuration(two)) => {
                one.organisation == two.organisation
            }
            _ => false,
        }
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn size_bound_bytes(&self) -> usize {
        match self {
            Self::Member(member) => member_bound_bytes(member),
            Self::Suspicion(suspicion) => {
                member_bound_bytes(&suspicion.member) + suspicion.by.as_str().len() + FIELD_BYTES
            }
            Self::Configuration(announcement) => {
                announcement.organisation.as_str().len() + 4 * FIELD_BYTES
            }
        }
    }
}

fn member_bound_bytes(member: &Member) -> usize {
    let names_bytes = member.instance.as_str().len()
        + member.region.as_str().len()
        + member.availability_zone.as_str().len();
    names_bytes + MEMBER_OVERHEAD_BYTES
}

/// Hashes of an instance's knowledge; peers whose hashes are equal need no exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Hash of all members that are not dead.
    pub members_hash: u64,
    /// Hash of the revisions of all organisations.
    pub configuration_hash: u64,
}

/// Number of a probe, unique per instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// The message of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    Ping {
        /// Number that the answer repeats.
        probe: ProbeId,
        /// The probed instance; another instance at its address does not answer.
        target: InstanceId,
    },
    /// Answers a ping, possibly relayed from the probed instance.
    Ack {
        /// Number of the ping.
        probe: ProbeId,
    },
    /// Requests that the receiver ping another instance and relay the answer.
    PingRequest {
        /// Number that the answer repeats.
        probe: ProbeId,
        /// The instance to ping.
        target: InstanceId,
        /// Address of that instance.
        address: SocketAddr,
    },
    /// Carries only rumours.
    Rumours,
    /// Hashes to compare with the receiver's own.
    Digest(Digest),
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// The message.
    pub message: Message,
    /// Piggybacked rumours.
    pub rumours: Vec<Rumour>,
}

/// An action for the driver of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Content.
        packet: Packet,
    },
    /// Exchange member tables and revisions with a peer over a stream.
    Synchronise {
        /// Address of the peer.
        with: SocketAddr,
    },
    /// A peer announced a revision.
    Announced {
        /// The announced revision.
        announcement: Announcement,
        /// Address of the peer.
        by: SocketAddr,
    },
    /// The entry of a member changed.
    Changed(Member),
}
