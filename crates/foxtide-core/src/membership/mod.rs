//! Gossip membership: failure detection and dissemination of member updates.
//!
//! Implements SWIM (Das, Gupta and Motivala, 2002) with parts of Lifeguard (Dadgar,
//! Phillips and Currey, 2018) within an availability zone; delegates connect the zones.

mod machine;
mod member;
mod message;
mod options;
mod probe;
mod probing;
mod queue;
mod rendezvous;
mod scope;
mod suspicion;
mod table;
mod updates;

pub use machine::{
    Membership,
    MembershipCounts, //
};
pub use member::{
    Incarnation,
    Member,
    MemberState, //
};
pub use message::{
    Announcement,
    DATAGRAM_MAX_BYTES,
    Digest,
    HEADER_MAX_BYTES,
    Message,
    Output,
    Packet,
    ProbeId,
    Rumour,
    Suspicion, //
};
pub use options::MembershipOptions;
pub use rendezvous::{
    Role,
    rank,
    weight, //
};
pub use suspicion::SuspicionBounds;
pub use table::MemberView;
