//! Test server for the platform's list of instances, which lags behind changes.

use crate::http::{
    Availability,
    Call,
    Endpoint,
    Reply,
    Server,
    json,
    text, //
};
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use http_types::{
    Method,
    StatusCode, //
};
use parking_lot::Mutex;
use serde::{
    Deserialize,
    Serialize, //
};
use std::io;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

/// Options of an [`InstanceListServer`].
#[derive(Clone, Debug)]
pub struct InstanceListOptions {
    /// The address to listen on; port 0, the default, picks a free port.
    pub address: SocketAddr,
    /// The delay before a change becomes visible; zero by default.
    pub lag: Duration,
}

impl Default for InstanceListOptions {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: Duration::ZERO,
        }
    }
}

/// An instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's region.
    pub region: RegionId,
    /// The instance's availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other instances.
    pub peer_address: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: ListedState,
}

/// The state of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The instance's stop has been announced.
    Leaving,
}

/// The list from one point in time on.
struct Snapshot {
    since: Instant,
    instances: Vec<ListedInstance>,
}

struct State {
    lag: Duration,
    /// Never empty, oldest first.
    snapshots: Vec<Snapshot>,
    calls: u64,
}

struct ListEndpoint(Mutex<State>);

/// A running instance list server.
pub struct InstanceListServer {
    server: Server<ListEndpoint>,
    endpoint: Arc<ListEndpoint>,
}

impl InstanceListServer {
    /// Starts a server with an empty list.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(options: InstanceListOptions) -> io::Result<Self> {
        let empty = Snapshot {
            since: Instant::now(),
            instances: Vec::new(),
        };
        let endpoint = Arc::new(ListEndpoint(Mutex::new(State {
            lag: options.lag,
            snapshots: vec![empty],
            calls: 0,
        })));
        let server = Server::start(options.address, endpoint.clone()).await?;
        Ok(Self { server, endpoint })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.endpoint.0.lock();
        state.snapshots.push(Snapshot {
            since: Instant::now(),
            instances,
        });
    }

    /// Sets the delay before a change becomes visible.
    pub fn set_lag(&self, lag: Duration) {
        self.endpoint.0.lock().lag = lag;
    }

    /// Sets whether the server accepts connections and answers.
    pub async fn set_availability(&self, availability: Availability) {
        self.server.set_availability(availability).await;
    }

    /// Returns the number of reads of the list.
    pub fn calls(&self) -> u64 {
        self.endpoint.0.lock().calls
    }
}

impl State {
    fn visible(&mut self, now: Instant) -> Vec<ListedInstance> {
        let shown = |snapshot: &Snapshot| now.duration_since(snapshot.since) >= self.lag;
        let newest = self.snapshots.iter().rposition(shown).unwrap_or(0);
        let instances = self.snapshots[newest].instances.clone();
        self.calls += 1;
        instances
    }
}

impl Endpoint for ListEndpoint {
    async fn answer(&self, call: Call) -> Reply {
        if call.request.method() != Method::Get || call.request.url().path() != "/v1/instances" {
            return Reply::whole(text(StatusCode::NotFound, "no such page"));
        }
        let instances = self.0.lock().visible(Instant::now());
        Reply::whole(json(&instances))
    }
}
