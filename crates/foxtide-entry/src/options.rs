//! Settings of the entry, with their defaults.

use foxtide_core::idempotency::TableOptions;
use foxtide_core::ids::OrganisationId;
use foxtide_core::units::ByteSize;
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// Settings of an [`Entry`](crate::Entry).
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Address of the caller listener. Default: `127.0.0.1:8080`.
    pub caller_address: SocketAddr,
    /// Address of the admin listener. Default: `127.0.0.1:8081`.
    pub admin_address: SocketAddr,
    /// Organisations that the caller listener serves. Default: empty, which
    /// means all.
    pub organisations: Vec<OrganisationId>,
    /// Time for which callers may cache a look-up. Default: 5 s.
    pub lookup_ttl: Duration,
    /// Maximum number of instances in a look-up. Default: 8.
    pub lookup_instances: usize,
    /// Maximum deadline that a caller may request. Default: 60 s.
    pub deadline_max: Duration,
    /// Limits on connections, requests and their sizes.
    pub limits: Limits,
    /// Settings of the upstream connection pools.
    pub pool: PoolOptions,
    /// Settings of the load polls.
    pub poll: PollOptions,
    /// Settings of the idempotency key table.
    pub keys: TableOptions,
    /// Settings of draining.
    pub drain: DrainOptions,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            caller_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_080)),
            admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_081)),
            organisations: Vec::new(),
            lookup_ttl: Duration::from_secs(5),
            lookup_instances: 8,
            deadline_max: Duration::from_secs(60),
            limits: Limits::default(),
            pool: PoolOptions::default(),
            poll: PollOptions::default(),
            keys: TableOptions::default(),
            drain: DrainOptions::default(),
        }
    }
}

impl EntryOptions {
    /// Returns whether the caller listener serves an organisation.
    pub(crate) fn serves(&self, organisation: &OrganisationId) -> bool {
        self.organisations.is_empty() || self.organisations.contains(organisation)
    }
}

/// Limits on connections, requests and their sizes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of the head of a request or an answer. Default: 16 KiB.
    pub head: ByteSize,
    /// Maximum size of a request body. Default: 1 MiB.
    pub request_body: ByteSize,
    /// Maximum total size of the bodies of all requests in progress; a chunked
    /// body counts as the maximum. Default: 128 MiB.
    pub request_bodies: ByteSize,
    /// Maximum size of an answer body that is buffered, so that the request can
    /// be retried if the body is truncated. Longer bodies are streamed, and the
    /// caller's connection is closed if they are truncated. Default: 1 MiB.
    pub answer_buffer: ByteSize,
    /// Maximum number of open connections of a listener. Default: 10,000.
    pub connections: usize,
    /// Maximum number of requests in progress, including waiting ones.
    /// Default: 2,000.
    pub in_flight: usize,
    /// Maximum number of requests that wait for admission or a slot.
    /// Default: 1,000.
    pub waiting: usize,
    /// Time limit for receiving a head, from its first byte. Default: 5 s.
    pub head_time: Duration,
    /// Time limit for receiving a request body, or each piece of a streamed
    /// answer. Default: 30 s.
    pub body_time: Duration,
    /// Time limit for sending an answer, or each piece of a streamed one.
    /// Default: 60 s.
    pub answer_time: Duration,
    /// Time limit for a connection without requests. Default: 75 s.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: ByteSize::from_kib(16),
            request_body: ByteSize::from_kib(1_024),
            request_bodies: ByteSize::from_kib(128 * 1_024),
            answer_buffer: ByteSize::from_kib(1_024),
            connections: 10_000,
            in_flight: 2_000,
            waiting: 1_000,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(30),
            answer_time: Duration::from_secs(60),
            idle_time: Duration::from_secs(75),
        }
    }
}

/// Settings of the upstream connection pools.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// Maximum number of idle connections per upstream. Default: 16.
    pub idle_connections: usize,
    /// Maximum idle time of a connection. Default: 30 s.
    pub idle_time: Duration,
    /// Maximum idle time of a connection reused for a non-idempotent request.
    /// The upstream may be about to close an older one, which would leave the
    /// outcome unknown. Default: 1 s.
    pub idle_time_non_idempotent: Duration,
    /// Time limit for connecting. Default: 1 s.
    pub connect_time: Duration,
    /// Local address to connect from. Default: none, chosen by the system.
    pub source: Option<IpAddr>,
    /// Whether every answer must echo its request id, not only those of
    /// upstreams that have echoed one before. This keeps early and duplicate
    /// answers from being taken for another request's, but rules out upstreams
    /// that do not echo request ids. Default: false.
    pub request_id_echo_required: bool,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            idle_connections: 16,
            idle_time: Duration::from_secs(30),
            idle_time_non_idempotent: Duration::from_secs(1),
            connect_time: Duration::from_secs(1),
            source: None,
            request_id_echo_required: false,
        }
    }
}

/// Settings of the load polls to upstreams without recent reports.
#[derive(Clone, Debug)]
pub struct PollOptions {
    /// Path of the poll. Any complete answer shows that the upstream is alive;
    /// a load report is read from `endpoint-load-metrics` or a JSON body.
    /// Default: `/load`.
    pub load_path: String,
    /// Time limit for connecting and answering. Default: 1 s.
    pub time: Duration,
}

impl Default for PollOptions {
    fn default() -> Self {
        Self {
            load_path: "/load".to_owned(),
            time: Duration::from_secs(1),
        }
    }
}

/// Settings of draining.
#[derive(Clone, Debug)]
pub struct DrainOptions {
    /// Time after the look-up TTL in which callers are still served.
    /// Default: 1 s.
    pub margin: Duration,
    /// Time limit for requests in progress after that. Default: 60 s.
    pub in_flight_time: Duration,
}

impl Default for DrainOptions {
    fn default() -> Self {
        Self {
            margin: Duration::from_secs(1),
            in_flight_time: Duration::from_secs(60),
        }
    }
}

/// Converts a size to `usize`, saturating.
pub(crate) fn size(size: ByteSize) -> usize {
    usize::try_from(size.get()).unwrap_or(usize::MAX)
}
