//! The platform's list of live and leaving instances, which lags.

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

/// How an [`InstanceListServer`] starts.
#[derive(Clone, Debug)]
pub struct InstanceListOptions {
    /// Where it listens; port 0, the default, lets the system choose.
    pub address: SocketAddr,
    /// How long a change takes to show; none by default.
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

/// One line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// Whether it is leaving.
    pub state: ListedState,
}

/// What the platform knows of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// Its stop was announced.
    Leaving,
}

/// The list as it became at one moment.
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

/// A running stand-in for the list of instances.
pub struct InstanceListServer {
    server: Server<ListEndpoint>,
    endpoint: Arc<ListEndpoint>,
}

impl InstanceListServer {
    /// Starts it with an empty list.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be bound.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list; the change shows after the lag.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        let mut state = self.endpoint.0.lock();
        state.snapshots.push(Snapshot {
            since: Instant::now(),
            instances,
        });
    }

    /// Changes how long a change takes to show.
    pub fn set_lag(&self, lag: Duration) {
        self.endpoint.0.lock().lag = lag;
    }

    /// Changes whether it answers.
    pub async fn set_availability(&self, availability: Availability) {
        self.server.set_availability(availability).await;
    }

    /// Returns how often it was asked.
    pub fn calls(&self) -> u64 {
        self.endpoint.0.lock().calls
    }
}

impl State {
    fn visible(&mut self, now: Instant) -> Vec<ListedInstance> {
        let shown = |snapshot: &Snapshot| now.duration_since(snapshot.since) >= self.lag;
        let newest = self.snapshots.iter().rposition(shown).unwrap_or(0);
        // What came before is never shown again, as lag only grows by hand.
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
