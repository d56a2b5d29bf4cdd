//! Results of a balancer: picks, polls and status changes.

use super::UpstreamStatus;
use crate::ids::UpstreamId;
use crate::organisation::Upstream;
use std::sync::Arc;
use std::time::Duration;

/// The result of choosing an upstream for a request.
#[derive(Debug)]
pub enum Pick {
    /// Send the request to the ticket's upstream.
    Take(Ticket),
    /// Every upstream is full: pick again after this time or after the next
    /// completion, whichever comes first.
    Wait {
        /// The time until an upstream is expected to have a free slot.
        retry_in: Duration,
    },
    /// The rate that the upstreams accept is used up.
    Throttled {
        /// The time until a request may be sent.
        retry_in: Duration,
    },
    /// The upstreams have asked this instance for rest.
    Resting {
        /// The time until the first rest ends.
        retry_in: Duration,
    },
    /// No upstream is available.
    Empty,
}

/// Permission to send one request to one upstream.
///
/// It must be returned to [`Balancer::finish`], also when the request is
/// cancelled.
#[derive(Debug)]
#[must_use = "a ticket must be finished"]
pub struct Ticket {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) incarnation: u64,
    pub(crate) connection_limit: u32,
}

impl Ticket {
    /// Returns the upstream to which the request is sent.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Returns the maximum number of this instance's connections to the upstream.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit
    }
}

/// A poll of one upstream's load endpoint.
///
/// It must be returned to [`Balancer::finish_poll`].
#[derive(Debug)]
#[must_use = "a poll must be finished"]
pub struct Poll {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) incarnation: u64,
}

impl Poll {
    /// Returns the upstream to poll.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }
}

/// A change of an upstream's status at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The previous status.
    pub from: UpstreamStatus,
    /// The current status.
    pub to: UpstreamStatus,
}
