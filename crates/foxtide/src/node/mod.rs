//! Starts and stops an entry instance.

mod options;
mod parts;
mod shared;

pub use options::NodeOptions;

use crate::tables::Tables;
use anyhow::{
    Context,
    Result, //
};
use foxtide_config::Settings;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::idempotency::OwnerId;
use foxtide_entry::{
    Entry,
    Listeners,
    Workers, //
};
use foxtide_events::Recorder;
use foxtide_mesh::MeshHandle;
use parts::NodeParts;
use shared::Shared;
use smol::Task;
use std::net::SocketAddr;
use std::sync::Arc;

/// A running entry instance.
#[derive(Debug)]
pub struct Node {
    entry: Entry<NodeParts>,
    mesh: MeshHandle,
    recorder: Recorder,
    tables: Arc<Tables>,
    workers: Workers,
    tasks: Vec<Task<()>>,
}

impl Node {
    /// Starts an instance, which serves once it has its configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be
    /// started.
    pub fn start(settings: &Settings) -> Result<Self> {
        Self::start_with(settings, NodeOptions::default())
    }

    /// Starts an instance with options other than the defaults.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Node::start`].
    pub fn start_with(settings: &Settings, options: NodeOptions) -> Result<Self> {
        let workers = Workers::start(settings.workers).context("start the workers")?;
        // Bound first because peers need the caller address.
        let listeners = Listeners::bind(settings.caller.listen, settings.admin.listen)
            .context("start the request path")?;
        let caller_address = listeners.caller_address();
        let process = options::random_process_number()?;
        let shared = Shared::open(settings, caller_address, process, options)?;
        let owner = OwnerId {
            instance: settings.instance.clone(),
            process,
        };
        let parts = Arc::new(NodeParts::new(&shared, owner));
        let entry_options = options::entry_options(settings);
        let entry = Entry::start_on(listeners, entry_options, parts, &workers.executor());
        let tasks = shared.start_tasks(settings, &workers);
        record_start(&shared.recorder, &entry, &shared.mesh);
        Ok(Self {
            entry,
            mesh: shared.mesh,
            recorder: shared.recorder,
            tables: shared.tables,
            workers,
            tasks,
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.entry.caller_address()
    }

    /// Returns the address of the admin pages.
    pub fn admin_address(&self) -> SocketAddr {
        self.entry.admin_address()
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.mesh.peer_address()
    }

    /// Returns the tables of configurations and instances.
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Returns the recorder of the instance's events.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Stops gracefully: withdraws from look-ups, serves until look-up results
    /// have expired, waits for requests in flight, then ends.
    pub async fn stop(self) {
        self.entry.drain().await;
        self.recorder
            .record(EventCode::ProcessStopped, EventFields::default());
        self.kill();
    }

    /// Stops without draining, as if the process were killed.
    pub fn kill(self) {
        self.mesh.stop();
        drop(self.tasks);
        drop(self.entry);
        drop(self.workers);
    }
}

fn record_start(recorder: &Recorder, entry: &Entry<NodeParts>, mesh: &MeshHandle) {
    let detail = format!(
        "version={} caller={} admin={} peer={}",
        env!("CARGO_PKG_VERSION"),
        entry.caller_address(),
        entry.admin_address(),
        mesh.peer_address()
    );
    recorder.record(EventCode::ProcessStarted, EventFields::detail(detail));
}
