//! Implements the interfaces that the request path requires.

use super::shared::Shared;
use crate::client_blocks::ActiveBlocks;
use crate::pages::AdminPages;
use crate::tables::Tables;
use foxtide_core::idempotency::OwnerId;
use foxtide_core::ids::{
    InstanceId,
    OrganisationId,
    RegionId, //
};
use foxtide_entry::{
    Clock,
    Dependencies,
    Directory,
    ServingInstance,
    SystemClock,
    TrafficTables, //
};
use foxtide_events::{
    Explainer,
    Recorder, //
};
use foxtide_mesh::MeshHandle;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;

/// The components that the request path uses.
#[derive(Debug)]
pub(crate) struct NodeParts {
    directory: NodeDirectory,
    traffic: Arc<TrafficTables>,
    clock: SystemClock,
    recorder: Recorder,
    explainer: Explainer,
    owner: OwnerId,
    pages: AdminPages,
}

impl NodeParts {
    /// Creates the parts of the process `owner`.
    pub(super) fn new(shared: &Shared, owner: OwnerId) -> Self {
        Self {
            directory: NodeDirectory {
                tables: Arc::clone(&shared.tables),
                blocks: shared.blocks.clone(),
                mesh: shared.mesh.clone(),
                clock: shared.clock,
            },
            traffic: Arc::clone(&shared.traffic),
            clock: shared.clock,
            recorder: shared.recorder.clone(),
            explainer: shared.explainer.clone(),
            owner,
            pages: shared.pages(),
        }
    }
}

impl Dependencies for NodeParts {
    type Directory = NodeDirectory;
    type Clock = SystemClock;
    type Admin = AdminPages;

    fn directory(&self) -> &NodeDirectory {
        &self.directory
    }

    fn traffic(&self) -> &TrafficTables {
        &self.traffic
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn explainer(&self) -> &Explainer {
        &self.explainer
    }

    fn owner(&self) -> &OwnerId {
        &self.owner
    }

    fn admin(&self) -> &AdminPages {
        &self.pages
    }
}

/// The directory of instances, backed by the tables, blocks and mesh.
#[derive(Debug)]
pub(crate) struct NodeDirectory {
    tables: Arc<Tables>,
    blocks: ActiveBlocks,
    mesh: MeshHandle,
    clock: SystemClock,
}

impl Directory for NodeDirectory {
    fn instances(&self) -> Arc<[ServingInstance]> {
        self.tables.instances()
    }

    fn address_of(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.tables.address_of(instance)
    }

    fn client_region(&self, _organisation: &OrganisationId, client: IpAddr) -> Option<RegionId> {
        let instances = self.tables.instances();
        let is_live = |region: &RegionId| instances.iter().any(|one| one.region == *region);
        self.blocks.region_of(client, is_live)
    }

    fn client_origin(&self, client: IpAddr) -> Option<RegionId> {
        self.blocks.region_of(client, |_| true)
    }

    fn leave(&self) {
        self.tables.set_leaving();
        self.tables.update_instances(self.clock.wall());
        self.mesh.leave();
    }
}
