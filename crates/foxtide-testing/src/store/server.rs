//! Starts the store server and controls its faults.

use super::calls::CallStats;
use super::endpoint::StoreEndpoint;
use super::faults::Faults;
use super::state::{
    Condition,
    Selection, //
};
use crate::http::{
    Availability,
    Server, //
};
use smol::{
    Task,
    Timer, //
};
use std::io;
use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Options of a [`StoreServer`].
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// The address to listen on; port 0, the default, picks a free port.
    pub address: SocketAddr,
    /// Factor by which TTLs and lock delays are shortened; 1 by default.
    pub clock_scale: f64,
    /// The seed for random faults; 1 by default.
    pub seed: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            clock_scale: 1.0,
            seed: 1,
        }
    }
}

/// A running key-value store server.
pub struct StoreServer {
    server: Server<StoreEndpoint>,
    endpoint: Arc<StoreEndpoint>,
    _expiry_task: Task<()>,
}

impl StoreServer {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let faults = Faults::new(options.seed);
        let endpoint = Arc::new(StoreEndpoint::new(options.clock_scale, faults));
        let server = Server::start(options.address, endpoint.clone()).await?;
        Ok(Self {
            server,
            _expiry_task: smol::spawn(expire_sessions(endpoint.clone())),
            endpoint,
        })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether the server accepts connections and answers.
    pub async fn set_availability(&self, availability: Availability) {
        self.server.set_availability(availability).await;
    }

    /// Delays each call by this time before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.endpoint.faults.lock().delay = delay;
    }

    /// Drops the answers to the next `count` changes: each takes effect, then
    /// its connection is closed.
    pub fn lose_answers(&self, count: u32) {
        self.endpoint.faults.lock().answers_to_lose = count;
    }

    /// Drops the answer to each change with this probability, from 0 to 1.
    pub fn set_answer_loss_probability(&self, probability: f64) {
        self.endpoint.faults.lock().answer_loss_probability = probability.clamp(0.0, 1.0);
    }

    /// Stops answering this caller; its open connections stay open.
    pub fn block_caller(&self, caller: IpAddr) {
        self.endpoint.faults.lock().blocked.insert(caller);
    }

    /// Resumes answering this caller.
    pub fn unblock_caller(&self, caller: IpAddr) {
        self.endpoint.faults.lock().blocked.remove(&caller);
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Ends a session as if its TTL had expired.
    pub fn expire_session(&self, session: &str) {
        let mut state = self.endpoint.state.lock();
        state.end_session(session, Instant::now());
        drop(state);
        self.endpoint.wake_all();
    }

    /// Returns the value of a key without counting a call.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let selection = Selection::Key(key.to_owned());
        let entries = self.endpoint.state.lock().read(&selection);
        entries.into_iter().next().map(|entry| entry.value)
    }

    /// Writes a key without counting a call.
    pub fn set_value(&self, key: &str, value: impl Into<Vec<u8>>) {
        let mut state = self.endpoint.state.lock();
        let written = state.write(key, value.into(), &Condition::None, Instant::now());
        drop(state);
        debug_assert_eq!(written, Ok(true));
        self.endpoint.wake_all();
    }

    /// Returns the call counts.
    pub fn calls(&self) -> CallStats {
        self.endpoint.calls.lock().stats()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }
}

async fn expire_sessions(endpoint: Arc<StoreEndpoint>) {
    loop {
        Timer::after(EXPIRY_CHECK_PERIOD).await;
        if endpoint.state.lock().expire_sessions(Instant::now()) {
            endpoint.wake_all();
        }
    }
}
