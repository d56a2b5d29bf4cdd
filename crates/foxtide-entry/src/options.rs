//! What can be set on the request path, with its defaults.

use foxtide_core::idempotency::TableOptions;
use foxtide_core::ids::OrganisationId;
use foxtide_core::units::ByteSize;
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::time::Duration;

/// The settings of an [`Entry`](crate::Entry).
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Where callers connect. Default: `127.0.0.1:8080`.
    pub caller_address: SocketAddr,
    /// Where operators connect. Default: `127.0.0.1:8081`.
    pub admin_address: SocketAddr,
    /// The only organisations that the caller listener serves; empty, the
    /// default, stands for all.
    pub organisations: Vec<OrganisationId>,
    /// How long callers may keep the answer to a look-up. Default: 5 s.
    pub lookup_ttl: Duration,
    /// The most instances that a look-up names. Default: 8.
    pub lookup_instances: usize,
    /// The longest deadline that a caller may ask for. Default: 60 s.
    pub deadline_max: Duration,
    /// What callers may use up. See [`Limits`].
    pub limits: Limits,
    /// How connections to upstreams are kept. See [`PoolOptions`].
    pub pool: PoolOptions,
    /// How upstreams are asked for their load. See [`PollOptions`].
    pub poll: PollOptions,
    /// How many idempotency keys are kept, and for how long.
    pub keys: TableOptions,
    /// How an instance leaves. See [`DrainOptions`].
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
    /// Tells whether the caller listener serves an organisation.
    pub(crate) fn serves(&self, organisation: &OrganisationId) -> bool {
        self.organisations.is_empty() || self.organisations.contains(organisation)
    }
}

/// What a caller, or all callers together, may use up.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest head of a request or an answer. Default: 16 KiB.
    pub head: ByteSize,
    /// The longest body of a request. Default: 1 MiB.
    pub request_body: ByteSize,
    /// What the bodies of all requests under way may take together; one in
    /// chunks counts as the longest. Default: 128 MiB.
    pub request_bodies: ByteSize,
    /// The longest body of an answer that is read whole before the caller gets
    /// its first byte, so that a broken one can be asked for again. Longer ones
    /// are passed on as they come, and their connection is cut where they break.
    /// Default: 1 MiB.
    pub answer_buffer: ByteSize,
    /// The most connections open on a listener. Default: 10,000.
    pub connections: usize,
    /// The most requests under way to upstreams, those that wait for room
    /// included. Default: 2,000.
    pub in_flight: usize,
    /// The most requests that wait for room. Default: 1,000.
    pub waiting: usize,
    /// The time to send a head, from its first byte on. Default: 5 s.
    pub head_time: Duration,
    /// The time to send a body, or each piece of a long answer's. Default: 30 s.
    pub body_time: Duration,
    /// The time a caller may take to read an answer, or each piece of a long
    /// one. Default: 60 s.
    pub answer_time: Duration,
    /// The time a connection may stay open between requests. Default: 75 s.
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

/// How connections to upstreams are kept.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// The most idle connections kept for an upstream. Default: 16.
    pub idle_connections: usize,
    /// The longest time a connection is kept idle. Default: 30 s.
    pub idle_time: Duration,
    /// The longest time a connection may have been idle to carry a request
    /// that must not run twice; the upstream may be about to close an older
    /// one, and the outcome would be unknown. Default: 1 s.
    pub idle_time_non_idempotent: Duration,
    /// The time to connect. Default: 1 s.
    pub connect_time: Duration,
    /// The address to connect from. Default: none, the system chooses.
    pub source: Option<IpAddr>,
    /// Whether each answer must name its request from the first one on, and
    /// not only once the upstream has done so. Only then can no early or second
    /// answer ever pass for another's; upstreams that never name requests
    /// cannot be used then. Default: no.
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

/// How upstreams are asked for their load that were not heard of for a while.
#[derive(Clone, Debug)]
pub struct PollOptions {
    /// The path that is asked. Any whole answer shows that the upstream lives;
    /// a load report may come in `endpoint-load-metrics` or as a JSON body.
    /// Default: `/load`.
    pub load_path: String,
    /// The time for connecting and answering. Default: 1 s.
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

/// How an instance leaves.
#[derive(Clone, Debug)]
pub struct DrainOptions {
    /// The time beyond the look-ups' time to live in which callers may still
    /// come. Default: 1 s.
    pub margin: Duration,
    /// The longest wait for what is in flight after that. Default: 60 s.
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

/// Returns a size as this machine counts memory.
pub(crate) fn size(size: ByteSize) -> usize {
    usize::try_from(size.get()).unwrap_or(usize::MAX)
}
