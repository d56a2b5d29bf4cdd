//! What the request path needs from the rest of an instance.
//!
//! Each trait is small, so that a test needs but a few lines to stand in for
//! it. All calls come from many workers at once and must not block.

use crate::clock::Clock;
use crate::events::RequestEvent;
use foxtide_core::ids::{AvailabilityZoneId, InstanceId, OrganisationId, RegionId, ServiceId};
use foxtide_core::organisation::{Organisation, Upstream};
use foxtide_core::time::MonotonicTime;
use http_types::Method;
use serde::Serialize;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// The parts that an [`Entry`](crate::Entry) works with.
pub trait Parts: Send + Sync + 'static {
    /// Where organisations and instances are read.
    type Directory: Directory;
    /// What decides where a request goes.
    type Steer: Steer;
    /// The clocks.
    type Clock: Clock;
    /// Where events are recorded.
    type Recorder: Recorder;
    /// What operators can read.
    type Admin: Admin;

    /// Returns the directory.
    fn directory(&self) -> &Self::Directory;
    /// Returns what decides where a request goes.
    fn steer(&self) -> &Self::Steer;
    /// Returns the clocks.
    fn clock(&self) -> &Self::Clock;
    /// Returns where events are recorded.
    fn recorder(&self) -> &Self::Recorder;
    /// Returns what operators can read.
    fn admin(&self) -> &Self::Admin;
}

/// Organisations and the instances that serve callers.
pub trait Directory: Send + Sync + 'static {
    /// Returns the organisation's configuration that is in force.
    fn organisation(&self, organisation: &OrganisationId) -> Option<Arc<Organisation>>;

    /// Returns the instances that callers may use now.
    ///
    /// Leaving instances are not among them, this one neither once
    /// [`Directory::leave`] was called.
    fn instances(&self) -> Arc<[ServingInstance]>;

    /// Takes this instance out of look-ups, here and at its peers.
    fn leave(&self);
}

/// An instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServingInstance {
    /// Its name.
    pub instance: InstanceId,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
}

/// What is known of a request before it is sent.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// The identity of the request.
    pub request: String,
    /// The organisation's configuration when the request came.
    pub organisation: Arc<Organisation>,
    /// The service.
    pub service: ServiceId,
    /// The method.
    pub method: Method,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// The caller.
    pub client: IpAddr,
    /// When it came.
    pub received_at: MonotonicTime,
    /// When its answer is of no more use.
    pub deadline: MonotonicTime,
}

/// Decides where a request goes.
pub trait Steer: Send + Sync + 'static {
    /// The place taken at an upstream for one attempt.
    type Ticket: Send + 'static;

    /// Returns the regions in the order in which a caller is to use them.
    fn lookup(
        &self,
        organisation: &Organisation,
        service: &ServiceId,
        client: IpAddr,
        now: MonotonicTime,
    ) -> Vec<RegionId>;

    /// Decides the region, having kept the request waiting for `waited`.
    fn admit(&self, request: &RequestFacts, waited: Duration, now: MonotonicTime) -> Admission;

    /// Takes a place at an upstream of `region`.
    fn pick(
        &self,
        request: &RequestFacts,
        region: &RegionId,
        now: MonotonicTime,
    ) -> Pick<Self::Ticket>;

    /// Gives a place back and tells how the attempt ended.
    fn finish(&self, ticket: Self::Ticket, completion: Completion, now: MonotonicTime);
}

/// Whether a request may be sent, and to which region.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may be sent.
    Send {
        /// The region of the upstream.
        region: RegionId,
        /// Whether that is another than the planned one.
        spilled: bool,
    },
    /// It waits for room.
    Wait {
        /// When to ask again.
        retry_in: Duration,
    },
    /// It is given up.
    Refuse {
        /// Why.
        reason: &'static str,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// A place at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick<T> {
    /// The place is taken.
    Take {
        /// What gives it back.
        ticket: T,
        /// The upstream.
        upstream: Upstream,
    },
    /// No upstream has room now.
    Wait {
        /// When to ask again.
        retry_in: Duration,
    },
    /// There is no upstream that serves.
    Empty,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The kind of end.
    pub kind: CompletionKind,
    /// The time it took.
    pub latency: Duration,
    /// What the upstream said of its load, as it wrote it.
    pub load: Option<String>,
    /// Whether the upstream said that it is leaving.
    pub leaving: bool,
}

/// The kinds of ends of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// A whole answer came.
    Answered,
    /// A whole answer came and says that the upstream failed (5xx).
    Failed,
    /// The upstream said that it did not run the request.
    Refused,
    /// No connection was made.
    Unreachable,
    /// The connection or the answer broke.
    Broken,
    /// The time was up.
    TimedOut,
    /// The caller went away, or another attempt was faster.
    Cancelled,
}

/// Records what happens to requests.
pub trait Recorder: Send + Sync + 'static {
    /// Records one event.
    fn record(&self, event: RequestEvent<'_>);
}

/// A page for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminPage {
    /// The type of its content.
    pub content_type: &'static str,
    /// Its content.
    pub body: Vec<u8>,
}

/// The pages for operators that the entry does not answer itself.
pub trait Admin: Send + Sync + 'static {
    /// Returns the page at `path`, such as `/metrics` or `/v1/events`.
    ///
    /// `query` is the target's query as it was sent.
    fn page(&self, path: &str, query: Option<&str>) -> Option<AdminPage>;

    /// Tells whether a configuration is in force, so that callers can be served.
    fn is_ready(&self) -> bool;
}
