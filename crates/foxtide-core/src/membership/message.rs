//! What instances say to each other, free of any encoding.

use super::member::Member;
use crate::ids::{
    InstanceId,
    OrganisationId, //
};
use crate::units::Revision;
use std::net::SocketAddr;

/// The largest datagram, in bytes; it fits one packet on usual networks.
pub const DATAGRAM_MAX_BYTES: usize = 1_400;

/// Room kept in each datagram for its header, its purpose and one rumour that
/// is meant for its receiver, in bytes.
pub const HEADER_MAX_BYTES: usize = 500;

/// Encoded size of a member at most, without its names, in bytes.
const MEMBER_OVERHEAD_BYTES: usize = 90;

/// Encoding overhead of one short field at most, in bytes.
const FIELD_BYTES: usize = 6;

/// Says that an instance holds a document of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Whose configuration it is.
    pub organisation: OrganisationId,
    /// The revision that the speaker holds.
    pub revision: Revision,
}

/// An instance's own observation that another one is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The silent instance, in state [`MemberState::Suspect`].
    ///
    /// [`MemberState::Suspect`]: super::member::MemberState::Suspect
    pub member: Member,
    /// Who found it silent.
    pub by: InstanceId,
}

/// News that is passed on from instance to instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rumour {
    /// What is believed of an instance.
    Member(Member),
    /// An instance found another one silent.
    Suspicion(Suspicion),
    /// A revision that the sender can hand out.
    Configuration(Announcement),
}

impl Rumour {
    /// Returns whether this one makes `older` needless.
    pub(crate) fn covers(&self, older: &Self) -> bool {
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

    /// Returns a bound on the encoded size, in bytes.
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

/// Hashes over what an instance knows; equal ones need no exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Over all members that are not dead.
    pub members_hash: u64,
    /// Over the revisions of all organisations.
    pub configuration_hash: u64,
}

/// The number of one probe of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProbeId(pub u64);

/// The purpose of a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping {
        /// Comes back in the answer.
        probe: ProbeId,
        /// The instance that is meant; another one at its address keeps still.
        target: InstanceId,
    },
    /// Answers a ping, perhaps on behalf of the instance that was probed.
    Ack {
        /// That of the ping.
        probe: ProbeId,
    },
    /// Asks the receiver to ping another instance and to pass on the answer.
    PingRequest {
        /// Comes back in the answer.
        probe: ProbeId,
        /// The instance to ping.
        target: InstanceId,
        /// Where to ping it.
        address: SocketAddr,
    },
    /// Carries rumours only.
    Rumours,
    /// Compares what both know.
    Digest(Digest),
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Its purpose.
    pub message: Message,
    /// News that travels along.
    pub rumours: Vec<Rumour>,
}

/// What the caller of a state machine is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        packet: Packet,
    },
    /// Exchange everything known with this peer, over a stream.
    Synchronise {
        /// Where the peer listens.
        with: SocketAddr,
    },
    /// A peer holds this revision.
    Announced {
        /// The revision.
        announcement: Announcement,
        /// Where the peer listens.
        by: SocketAddr,
    },
    /// The belief about an instance changed.
    Changed(Member),
}
