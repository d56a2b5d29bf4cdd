//! What the request path tells of itself.

use crate::outcome::Outcome;
use crate::parts::RequestFacts;
use foxtide_core::ids::{RegionId, UpstreamId};
use std::net::SocketAddr;
use std::time::Duration;

/// An event on the request path.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum RequestEvent<'a> {
    /// A request was answered by an upstream.
    Answered {
        /// The request.
        request: &'a RequestFacts,
        /// The upstream.
        upstream: &'a UpstreamId,
        /// Its region.
        region: &'a RegionId,
        /// The status of the answer.
        status: u16,
        /// From the request's coming to the answer's.
        latency: Duration,
    },
    /// An attempt at an upstream failed.
    AttemptFailed {
        /// The request.
        request: &'a RequestFacts,
        /// The upstream.
        upstream: &'a UpstreamId,
        /// Its region.
        region: &'a RegionId,
        /// What is known of the attempt.
        outcome: Outcome,
        /// Why it failed.
        cause: &'a str,
    },
    /// A request was answered by foxtide itself.
    Refused {
        /// The request.
        request: &'a RequestFacts,
        /// What is known of it.
        outcome: Outcome,
        /// Why.
        reason: &'a str,
    },
    /// A caller went away before its answer came.
    CallerGone {
        /// The caller.
        caller: SocketAddr,
    },
    /// What a caller sent is not a request that foxtide takes.
    BadRequest {
        /// The caller.
        caller: SocketAddr,
        /// Why.
        reason: &'a str,
    },
    /// No connection could be accepted, for want of file descriptors or such.
    AcceptFailed {
        /// The system's words.
        cause: &'a str,
    },
    /// This instance started to leave.
    Draining,
    /// This instance has nothing in flight any more.
    Drained,
}
