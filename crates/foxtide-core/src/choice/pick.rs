//! What a balancer hands out: tickets, polls and news.

use super::UpstreamStatus;
use crate::ids::UpstreamId;
use crate::organisation::Upstream;
use std::sync::Arc;
use std::time::Duration;

/// What to do with a request.
#[derive(Debug)]
pub enum Pick {
    /// Send it to the ticket's upstream.
    Take(Ticket),
    /// Every upstream is full: ask again after this time or after the next
    /// completion, whichever comes first.
    Wait {
        /// The time until an upstream is expected to have room.
        retry_in: Duration,
    },
    /// No upstream is able to serve at all.
    Empty,
}

/// The right to send one request to one upstream.
///
/// It has to be given back to [`Balancer::finish`], also when the request is
/// cancelled.
#[derive(Debug)]
#[must_use = "a ticket has to be finished"]
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

    /// Returns how many connections this instance may keep to the upstream.
    pub fn connection_limit(&self) -> u32 {
        self.connection_limit
    }
}

/// The task to ask one upstream's load endpoint.
///
/// It has to be given back to [`Balancer::finish_poll`].
#[derive(Debug)]
#[must_use = "a poll has to be finished"]
pub struct Poll {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) incarnation: u64,
}

impl Poll {
    /// Returns the upstream to be asked.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }
}

/// A change of what an instance makes of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// What it was.
    pub from: UpstreamStatus,
    /// What it is now.
    pub to: UpstreamStatus,
}
