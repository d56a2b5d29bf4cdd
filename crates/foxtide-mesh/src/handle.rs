//! Starts the mesh and provides the handle to it.

use crate::calls::{
    self,
    IncomingCall, //
};
use crate::errors::{
    CallError,
    Error,
    Result, //
};
use crate::join::{
    self,
    Synchronisation, //
};
use crate::options::{
    Identity,
    MeshOptions, //
};
use crate::shared::{
    Shared,
    apply_outputs, //
};
use crate::traffic::TrafficCounts;
use crate::{
    datagrams,
    documents,
    load,
    streams, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::ids::{
    InstanceId,
    OrganisationId, //
};
use foxtide_core::membership::{
    Incarnation,
    Member,
    MemberState,
    MembershipCounts,
    Role, //
};
use foxtide_core::steering::{
    FleetView,
    InstanceReport, //
};
use parking_lot::Mutex;
use smol::channel::Receiver;
use std::net::{
    SocketAddr,
    TcpListener,
    UdpSocket, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: u32 = 16;

/// Documents queued for a subscriber; a subscriber whose queue is full is removed.
const SUBSCRIPTION_CAPACITY: usize = 65_536;

/// Entry point of the mesh; see [`Mesh::start`].
#[derive(Debug)]
pub struct Mesh;

impl Mesh {
    /// Starts listening and probing, and joins the fleet through `seeds`, some of
    /// which may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the peer address cannot be bound.
    pub fn start(
        identity: Identity,
        seeds: &[SocketAddr],
        options: MeshOptions,
    ) -> Result<MeshHandle> {
        let address = identity.peer_address;
        let (listener, socket) = bind(address).map_err(|source| Error::listen(address, source))?;
        let listener = smol::Async::new(listener);
        let listener = listener.map_err(|source| Error::listen(address, source))?;
        let socket = smol::Async::new(socket);
        let socket = socket.map_err(|source| Error::listen(address, source))?;
        let bound = socket.get_ref().local_addr();
        let bound = bound.map_err(|source| Error::listen(address, source))?;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let epoch = epoch.unwrap_or(Duration::ZERO);
        let epoch_us = u64::try_from(epoch.as_micros()).unwrap_or(u64::MAX);
        let own = Member {
            instance: identity.instance,
            region: identity.region,
            availability_zone: identity.availability_zone,
            peer_address: bound,
            caller_address: identity.caller_address,
            process: identity.process,
            // Higher than that of an earlier process of the same name.
            incarnation: Incarnation::new(epoch_us / 1_000),
            state: if options.starts_joining {
                MemberState::Joining
            } else {
                MemberState::Alive
            },
        };
        let shared = Arc::new(Shared::new(own, seeds, options, socket, epoch_us));
        let tasks = vec![
            smol::spawn(datagrams::receive(shared.clone())),
            smol::spawn(datagrams::tick(shared.clone())),
            smol::spawn(streams::accept(shared.clone(), listener.into())),
            smol::spawn(join::run(shared.clone())),
        ];
        Ok(MeshHandle {
            shared,
            tasks: Arc::new(Mutex::new(tasks)),
        })
    }
}

/// Binds TCP and UDP to the same port.
fn bind(address: SocketAddr) -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut attempt = 1;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempt == BIND_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

/// A handle to the running mesh of one instance; clones share it.
///
/// The mesh runs until [`MeshHandle::stop`] or until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct MeshHandle {
    shared: Arc<Shared>,
    tasks: Arc<Mutex<Vec<smol::Task<()>>>>,
}

impl MeshHandle {
    /// Returns the member record of this instance.
    pub fn own(&self) -> Member {
        self.shared.state.lock().membership.own().clone()
    }

    /// Returns the address at which this instance listens for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns all members, including this instance and recently dead ones.
    pub fn members(&self) -> Vec<Member> {
        let state = self.shared.state.lock();
        state.membership.members().cloned().collect()
    }

    /// Returns one member.
    pub fn member(&self, instance: &InstanceId) -> Option<Member> {
        self.shared
            .state
            .lock()
            .membership
            .member(instance)
            .cloned()
    }

    /// Adds addresses to try when looking for instances; they may be stale.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.shared.state.lock().seeds.extend(seeds);
    }

    /// Returns whether this instance is one of the store watchers of its
    /// availability zone.
    pub fn is_watcher(&self) -> bool {
        let count = self.shared.options.watchers_per_zone;
        let state = self.shared.state.lock();
        state.membership.has_role(Role::Watcher, count)
    }

    /// Publishes a document read from the store; returns whether it is newer
    /// than the stored one. An older one is ignored.
    pub fn publish_configuration(&self, document: &Document) -> bool {
        documents::apply_document(&self.shared, document)
    }

    /// Returns the newest known document of each organisation.
    pub fn configurations(&self) -> Vec<Document> {
        let state = self.shared.state.lock();
        state.configurations.documents().cloned().collect()
    }

    /// Returns a channel of the documents applied from now on; the revisions of
    /// an organisation increase.
    pub fn configuration_changes(&self) -> Receiver<Document> {
        let (sender, receiver) = smol::channel::bounded(SUBSCRIPTION_CAPACITY);
        self.shared.subscribers.lock().push(sender);
        receiver
    }

    /// Sets the load report of this instance for an organisation.
    pub fn publish_load(&self, organisation: &OrganisationId, report: InstanceReport) {
        let now = load::wall_now();
        let mut state = self.shared.state.lock();
        state.load.publish(organisation.clone(), report, now);
    }

    /// Returns the known load of an organisation in all regions.
    ///
    /// Its times are those of [`MeshOptions::clock`].
    pub fn fleet_view(&self, organisation: &OrganisationId) -> FleetView {
        let now = load::moment(&self.shared);
        let state = self.shared.state.lock();
        let members = state.membership.member_views();
        state.load.fleet_view(organisation, members, now)
    }

    /// Returns the interval between load messages; it grows when the table of
    /// all regions exceeds the bandwidth budget.
    pub fn load_interval(&self) -> Duration {
        self.shared.state.lock().load.interval()
    }

    /// Returns the progress of synchronising with peers after the start.
    pub fn synchronisation(&self) -> Synchronisation {
        self.shared.state.lock().synchronisation
    }

    /// Returns whether the first synchronisation has ended, with or without peers.
    pub fn synchronised(&self) -> bool {
        self.synchronisation() != Synchronisation::Joining
    }

    /// Calls a peer, which receives the call from [`MeshHandle::incoming_calls`].
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] if the peer did not start the call, and
    /// with [`CallError::Unknown`] if it may have.
    pub async fn call(
        &self,
        target: &InstanceId,
        bytes: Vec<u8>,
        deadline: Duration,
    ) -> std::result::Result<Vec<u8>, CallError> {
        calls::call(&self.shared, target, bytes, deadline).await
    }

    /// Returns the channel of calls from peers; each call goes to one receiver.
    pub fn incoming_calls(&self) -> Receiver<IncomingCall> {
        self.shared.calls.1.clone()
    }

    /// Announces that this instance has finished joining and serves callers.
    pub fn serve(&self) {
        let now = self.shared.now();
        let outputs = self.shared.state.lock().membership.serve(now);
        apply_outputs(&self.shared, outputs);
    }

    /// Announces that this instance is leaving. It responds to peers until it is
    /// stopped.
    pub fn leave(&self) {
        let now = self.shared.now();
        let outputs = self.shared.state.lock().membership.leave(now);
        apply_outputs(&self.shared, outputs);
    }

    /// Stops all tasks at once, without notifying peers.
    pub fn stop(&self) {
        self.tasks.lock().clear();
    }

    /// Returns the traffic counters of this instance.
    pub fn traffic(&self) -> TrafficCounts {
        self.shared.traffic.counts()
    }

    /// Returns the number of rumours queued for sending.
    pub fn waiting_rumours(&self) -> usize {
        self.shared.state.lock().membership.waiting_rumours()
    }

    /// Returns the event counters of the membership protocol.
    pub fn counts(&self) -> MembershipCounts {
        self.shared.state.lock().membership.counts()
    }
}
