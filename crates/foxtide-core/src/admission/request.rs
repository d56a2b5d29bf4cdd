//! Slot requests and their answers.

use crate::ids::{
    OrganisationId,
    UpstreamId, //
};
use crate::placement::{
    ObjectKey,
    Slowness, //
};
use crate::routing::RequestKind;
use crate::throttle::LimitReport;
use crate::time::WallTime;
use crate::units::RequestRate;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The address that the answer is sent to.
    pub requester: SocketAddr,
    /// A number that is unique per requester.
    pub number: u64,
}

impl fmt::Display for Ticket {
    /// Writes the number and the requester, such as `7@127.0.0.1:7620`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.number, self.requester)
    }
}

/// A request for a slot of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// The ticket that identifies the request.
    pub ticket: Ticket,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When the upstream started, as far as the requester knows.
    pub born_at: Option<WallTime>,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The organisation of its caller, if it is known.
    pub organisation: Option<OrganisationId>,
    /// The rate that was sold to that organisation, its weight among others; `None` if it is
    /// unlimited.
    pub organisation_rate: Option<RequestRate>,
    /// The object that the request accesses, if any.
    pub object: Option<ObjectKey>,
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// The time left until the latency objective.
    pub objective_left: Duration,
    /// The time left until the deadline of the caller or the route, or until the end of an instance
    /// that stops before.
    pub time_left: Duration,
    /// The limit of the wait for a slot.
    pub patience: Patience,
    /// What the requester has heard of the upstream's rate limit.
    pub limit: Option<LimitReport>,
}

/// The limit of a request's wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Patience {
    /// The request does not wait.
    NoWait,
    /// It does not wait, and it takes a slot only if its response is expected within the latency
    /// objective.
    NoWaitInTime,
    /// It waits while its response is expected well within the latency objective.
    WithinObjective,
    /// It waits while it can be served before its deadline.
    UntilDeadline,
}

impl Patience {
    /// Returns the patience at the second choice of a request whose first choice is busy.
    ///
    /// Where the first choice would serve it within the objective, the second choice serves it
    /// only within the objective too: the object is new to most second choices, so that it would
    /// be late there and take several times as long as at the first choice. Where it is late in
    /// any case, it takes an idle slot: the first choice is overloaded, and later requests for the
    /// object find it at the second choice.
    pub fn at_second_choice(served_in: Option<Duration>, objective_left: Duration) -> Self {
        match served_in {
            Some(served_in) if served_in <= objective_left => Self::NoWaitInTime,
            _ => Self::NoWait,
        }
    }
}

/// A coordinator's answer to a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may be sent now.
    Granted,
    /// All slots are taken; another answer follows.
    Waiting,
    /// The wait would exceed the patience of the request.
    Busy {
        /// The time after which the upstream is expected to have served it, for a request that
        /// may wait and whose service time is known.
        served_in: Option<Duration>,
    },
    /// The request cannot be served before its deadline.
    Rejected {
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
    /// The upstream's rate limit is exhausted.
    Throttled {
        /// When the limit allows another request.
        retry_after: Duration,
    },
    /// The upstream limits its rate, and the instance cannot tell whether it coordinates it.
    NotCoordinator,
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream served it and has its object cached from now on.
    Served,
    /// The upstream did not serve it; its duration is not recorded.
    NotServed,
}

/// What the end of a request tells its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// How the request ended.
    pub ending: Ending,
    /// The slowness that the upstream reported in its response, if any.
    pub slowness: Option<Slowness>,
}

impl From<Ending> for EndReport {
    /// Returns the report of a request without a known slowness.
    fn from(ending: Ending) -> Self {
        Self {
            ending,
            slowness: None,
        }
    }
}
