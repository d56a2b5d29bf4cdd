//! What an instance asks for, and what it is told.

use crate::ids::UpstreamId;
use crate::placement::ObjectKey;
use crate::time::WallTime;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Names one request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Where the answer goes.
    pub requester: SocketAddr,
    /// A number that the requester uses once.
    pub number: u64,
}

impl fmt::Display for Ticket {
    /// Writes the number and the requester, `7@127.0.0.1:7620`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.requester)
    }
}

/// A request that is to be sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its name.
    pub ticket: Ticket,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the upstream started, as far as the requester knows.
    pub born_at: Option<WallTime>,
    /// The object that the request concerns, if it does any.
    pub object: Option<ObjectKey>,
    /// The rank of the request; 0 is the highest.
    pub priority: u32,
    /// What is left of its latency objective.
    pub objective_left: Duration,
    /// What is left until its caller's or its route's limit.
    pub time_left: Duration,
    /// How long it is ready to wait.
    pub patience: Patience,
}

/// How long a request is ready to wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// Not at all.
    NoWait,
    /// As long as its answer will come well before its latency objective; else another
    /// upstream may do better.
    WithinObjective,
    /// Until it cannot be served any more.
    UntilDeadline,
}

/// What a coordinator says to one that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may be sent now.
    Granted,
    /// All slots are taken; another answer follows.
    Waiting,
    /// It would have to wait for longer than it is ready to.
    Busy,
    /// The request cannot be served in its time.
    Refused {
        /// When room is expected.
        retry_after: Duration,
    },
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream answered it well: it knows the object from now on.
    Served,
    /// It did not; nothing is learnt from it.
    NotServed,
}
