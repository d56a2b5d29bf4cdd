//! Creates the shared components of an instance and its background tasks.

use super::options::{
    self,
    NodeOptions, //
};
use crate::client_blocks::{
    ActiveBlocks,
    BlocksUpdater, //
};
use crate::configuration::ConfigurationUpdater;
use crate::event_backup::EventBackup;
use crate::observer::Observer;
use crate::pages::AdminPages;
use crate::promises::{
    PromiseSampler,
    Promises, //
};
use crate::readiness::Readiness;
use crate::store::{
    self,
    NodeStore, //
};
use crate::tables::Tables;
use crate::traffic::TrafficUpdater;
use crate::{
    instance_list,
    telemetry, //
};
use anyhow::Result;
use foxtide_config::Settings;
use foxtide_core::idempotency::ProcessNumber;
use foxtide_entry::{
    Clock,
    SystemClock,
    TrafficTables,
    Workers, //
};
use foxtide_events::{
    Explainer,
    Recorder,
    TimeLine, //
};
use foxtide_mesh::MeshHandle;
use smol::{
    Task,
    Timer, //
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const MEMBERS_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// The tables and handles that the components of an instance share.
#[derive(Clone, Debug)]
pub(super) struct Shared {
    pub(super) tables: Arc<Tables>,
    pub(super) traffic: Arc<TrafficTables>,
    pub(super) mesh: MeshHandle,
    pub(super) store: Arc<NodeStore>,
    pub(super) blocks: ActiveBlocks,
    pub(super) recorder: Recorder,
    pub(super) explainer: Explainer,
    pub(super) promises: Promises,
    pub(super) time_line: TimeLine,
    pub(super) readiness: Readiness,
    pub(super) clock: SystemClock,
}

impl Shared {
    /// Creates the shared components and starts the mesh.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer address cannot be bound.
    pub(super) fn open(
        settings: &Settings,
        caller_address: SocketAddr,
        process: ProcessNumber,
        options: NodeOptions,
    ) -> Result<Self> {
        let clock = SystemClock::default();
        let recorder = Recorder::new(
            settings.instance.clone(),
            options::recorder_options(settings),
        );
        let mesh = options::start_mesh(settings, caller_address, process, &recorder, &clock)?;
        let traffic = TrafficTables::new(options::traffic_options(settings, options));
        Ok(Self {
            tables: Arc::new(Tables::new(settings.instance.clone())),
            traffic: Arc::new(traffic),
            mesh,
            store: store::open(settings),
            blocks: ActiveBlocks::default(),
            time_line: options::time_line(settings, &recorder, &clock),
            recorder,
            explainer: Explainer::default(),
            promises: Promises::default(),
            readiness: Readiness::default(),
            clock,
        })
    }

    pub(super) fn pages(&self) -> AdminPages {
        AdminPages {
            tables: Arc::clone(&self.tables),
            time_line: self.time_line.clone(),
            explainer: self.explainer.clone(),
            promises: self.promises.clone(),
            metrics: telemetry::start_metrics(),
            readiness: self.readiness.clone(),
        }
    }

    /// Starts the background tasks.
    pub(super) fn start_tasks(&self, settings: &Settings, workers: &Workers) -> Vec<Task<()>> {
        let backup = self.event_backup();
        let instance_list = settings.instance_list_address;
        vec![
            workers.spawn(self.configuration_updater(settings).run()),
            workers.spawn(self.blocks_updater().run()),
            workers.spawn(self.traffic_updater().run()),
            workers.spawn(update_members(self.clone())),
            workers.spawn(store::update_budget(
                Arc::clone(&self.store),
                self.mesh.clone(),
            )),
            workers.spawn(instance_list::poll(instance_list, self.mesh.clone())),
            workers.spawn(self.promise_sampler().run()),
            workers.spawn(self.observer().run()),
            workers.spawn(backup.clone().send()),
            workers.spawn(backup.receive()),
        ]
    }

    fn configuration_updater(&self, settings: &Settings) -> ConfigurationUpdater {
        ConfigurationUpdater {
            tables: Arc::clone(&self.tables),
            traffic: Arc::clone(&self.traffic),
            clock: self.clock,
            mesh: self.mesh.clone(),
            recorder: self.recorder.clone(),
            store: Arc::clone(&self.store),
            readiness: self.readiness.clone(),
            watch_wait: settings.limits.store.watch_wait(),
            seed: fastrand::u64(..),
        }
    }

    fn blocks_updater(&self) -> BlocksUpdater {
        BlocksUpdater {
            active: self.blocks.clone(),
            mesh: self.mesh.clone(),
            store: Arc::clone(&self.store),
            recorder: self.recorder.clone(),
        }
    }

    fn traffic_updater(&self) -> TrafficUpdater {
        TrafficUpdater {
            tables: Arc::clone(&self.tables),
            traffic: Arc::clone(&self.traffic),
            mesh: self.mesh.clone(),
            recorder: self.recorder.clone(),
            readiness: self.readiness.clone(),
            clock: self.clock,
        }
    }

    fn promise_sampler(&self) -> PromiseSampler {
        PromiseSampler {
            promises: self.promises.clone(),
            tables: Arc::clone(&self.tables),
            traffic: Arc::clone(&self.traffic),
            recorder: self.recorder.clone(),
            clock: self.clock,
        }
    }

    fn observer(&self) -> Observer {
        Observer {
            recorder: self.recorder.clone(),
            explainer: self.explainer.clone(),
            tables: Arc::clone(&self.tables),
            mesh: self.mesh.clone(),
            clock: self.clock,
        }
    }

    fn event_backup(&self) -> EventBackup {
        EventBackup {
            time_line: self.time_line.clone(),
            mesh: self.mesh.clone(),
            clock: self.clock,
        }
    }
}

/// Updates the members and the instances for look-ups.
async fn update_members(shared: Shared) {
    loop {
        shared.tables.set_members(shared.mesh.members());
        shared.tables.update_instances(shared.clock.wall());
        Timer::after(MEMBERS_UPDATE_INTERVAL).await;
    }
}
