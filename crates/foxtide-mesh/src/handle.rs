//! Starting the mesh of an instance and using it.

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
    carry_out, //
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

/// Attempts to find a port that is free for both protocols.
const BIND_ATTEMPTS: u32 = 16;

/// Documents that wait for a subscriber; one that lags so far is dropped.
const SUBSCRIPTION_MAX: usize = 65_536;

/// The mesh; see [`Mesh::start`].
#[derive(Debug)]
pub struct Mesh;

impl Mesh {
    /// Starts to listen, to probe and to join the fleet through `seeds`, which
    /// may be out of date.
    ///
    /// # Errors
    ///
    /// Fails where the peer address cannot be listened at.
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
            // Above that of an earlier process of the same name.
            incarnation: Incarnation::new(epoch_us / 1_000),
            state: if options.joins_first {
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

/// Binds both protocols to the same port.
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

/// The running mesh of one instance; clones share it.
///
/// It runs until [`MeshHandle::stop`] or until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct MeshHandle {
    shared: Arc<Shared>,
    tasks: Arc<Mutex<Vec<smol::Task<()>>>>,
}

impl MeshHandle {
    /// Returns this instance as it presents itself.
    pub fn own(&self) -> Member {
        self.shared.state.lock().membership.own().clone()
    }

    /// Returns where this instance listens for others.
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns all members, this instance and the dead of late included.
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

    /// Adds addresses at which instances may be, such as the platform's list
    /// names; they are hints only.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.shared.state.lock().seeds.extend(seeds);
    }

    /// Returns whether this instance is one of those of its zone that watch
    /// the store.
    pub fn is_watcher(&self) -> bool {
        let count = self.shared.options.watchers_per_zone;
        let state = self.shared.state.lock();
        state.membership.holds(Role::Watcher, count)
    }

    /// Publishes a document, as read from the store; returns whether it is
    /// newer than the one held. An older one is never applied.
    pub fn publish_configuration(&self, document: &Document) -> bool {
        documents::accept(&self.shared, document)
    }

    /// Returns the newest document held of each organisation.
    pub fn configurations(&self) -> Vec<Document> {
        let state = self.shared.state.lock();
        state.configurations.documents().cloned().collect()
    }

    /// Returns a stream of all documents that this instance takes in from now
    /// on, each newer than the one before it of the same organisation.
    pub fn configuration_changes(&self) -> Receiver<Document> {
        let (sender, receiver) = smol::channel::bounded(SUBSCRIPTION_MAX);
        self.shared.subscribers.lock().push(sender);
        receiver
    }

    /// Sets what this instance reports for an organisation.
    pub fn publish_load(&self, organisation: &OrganisationId, report: InstanceReport) {
        let now = load::wall_now();
        let mut state = self.shared.state.lock();
        state.load.publish(organisation.clone(), report, now);
    }

    /// Returns what is known of an organisation's load in all regions.
    ///
    /// Its times are on [`MeshOptions::clock`].
    pub fn fleet_view(&self, organisation: &OrganisationId) -> FleetView {
        let now = load::moment(&self.shared);
        let state = self.shared.state.lock();
        let members = state.membership.member_views();
        state.load.fleet_view(organisation, members, now)
    }

    /// Returns the time between two rounds of spreading load; it grows where
    /// the table of all regions is too large for the budget.
    pub fn load_interval(&self) -> Duration {
        self.shared.state.lock().load.interval()
    }

    /// Returns how far this instance has taken over what its peers know.
    pub fn synchronisation(&self) -> Synchronisation {
        self.shared.state.lock().synchronisation
    }

    /// Returns whether this instance holds the newest that its peers know, or
    /// found that it has none.
    pub fn synchronised(&self) -> bool {
        self.synchronisation() != Synchronisation::Joining
    }

    /// Calls a peer, which receives it by [`MeshHandle::incoming_calls`].
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::NotSent`] where the peer cannot have begun the
    /// call, and with [`CallError::Unknown`] where it may have.
    pub async fn call(
        &self,
        target: &InstanceId,
        bytes: Vec<u8>,
        deadline: Duration,
    ) -> std::result::Result<Vec<u8>, CallError> {
        calls::call(&self.shared, target, bytes, deadline).await
    }

    /// Returns the stream of peers' calls; each goes to one receiver.
    pub fn incoming_calls(&self) -> Receiver<IncomingCall> {
        self.shared.calls.1.clone()
    }

    /// Announces that this instance, which was joining, serves callers.
    pub fn serve(&self) {
        let now = self.shared.now();
        let outputs = self.shared.state.lock().membership.serve(now);
        carry_out(&self.shared, outputs);
    }

    /// Announces that this instance leaves. It keeps answering peers until it
    /// is stopped.
    pub fn leave(&self) {
        let now = self.shared.now();
        let outputs = self.shared.state.lock().membership.leave(now);
        carry_out(&self.shared, outputs);
    }

    /// Ends all work at once, without a word to peers.
    pub fn stop(&self) {
        self.tasks.lock().clear();
    }

    /// Returns what this instance sent, received and rejected.
    pub fn traffic(&self) -> TrafficCounts {
        self.shared.traffic.counts()
    }

    /// Returns how many rumours this instance still spreads.
    pub fn waiting_rumours(&self) -> usize {
        self.shared.state.lock().membership.waiting_rumours()
    }

    /// Returns how often things happened in the membership protocol.
    pub fn counts(&self) -> MembershipCounts {
        self.shared.state.lock().membership.counts()
    }
}
