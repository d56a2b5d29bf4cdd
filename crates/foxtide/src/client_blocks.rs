//! Brings the client blocks of the store into force at an instance.
//!
//! The watchers of each availability zone watch the manifest and give it to
//! the mesh, which spreads it as a document of a reserved name. The latest
//! changes lie in the manifest; chunks are read from the store by an instance
//! that starts or has missed too many of them.

use crate::store::NodeStore;
use arc_swap::ArcSwapOption;
use foxtide_config::blocks::{
    RESERVED_NAME,
    load_table, //
};
use foxtide_config::{
    Backoff,
    BackoffOptions, //
};
use foxtide_core::blocks::{
    ClientBlocks,
    MANIFEST_KEY,
    Manifest,
    Site, //
};
use foxtide_core::dissemination::Document;
use foxtide_core::events::{
    EventCode,
    EventFields, //
};
use foxtide_core::ids::RegionId;
use foxtide_core::store::{
    Store,
    StoreError,
    StoreIndex, //
};
use foxtide_core::units::Revision;
use foxtide_events::Recorder;
use foxtide_mesh::MeshHandle;
use smol::Timer;
use smol::channel::{
    Receiver,
    Sender, //
};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(55);

/// The least time from one answer of the watch to the next call.
const WATCH_GAP: Duration = Duration::from_millis(200);

/// How often an instance that holds no watch asks whether it should.
const ROLE_CHECK: Duration = Duration::from_secs(1);

/// Over how long instances spread their reading of chunks: 600 instances that
/// read five values each are then 100 calls a second.
const LOAD_SPREAD: Duration = Duration::from_secs(30);

/// The client blocks in force. Clones share them; readers never wait.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlocksInForce(Arc<ArcSwapOption<ClientBlocks>>);

impl BlocksInForce {
    /// Returns the region that serves a client: that of its site or, where
    /// `is_live` says no of it, that of the first alternative with a live one.
    pub(crate) fn region_of(
        &self,
        client: IpAddr,
        is_live: impl Fn(&RegionId) -> bool,
    ) -> Option<RegionId> {
        let blocks = self.0.load();
        let blocks = blocks.as_ref()?;
        let site = blocks.site_of(client)?;
        let live = |site: &&Site| is_live(&site.region);
        let alternatives = blocks.sites().alternatives(site);
        let found = std::iter::once(site).chain(alternatives).find(live);
        Some(found.unwrap_or(site).region.clone())
    }

    fn revision(&self) -> u64 {
        self.0.load().as_ref().map_or(0, |blocks| blocks.revision())
    }
}

/// Follows the client blocks of store and mesh.
#[derive(Clone, Debug)]
pub(crate) struct BlocksFollower {
    pub(crate) in_force: BlocksInForce,
    pub(crate) mesh: MeshHandle,
    pub(crate) store: Arc<NodeStore>,
    pub(crate) recorder: Recorder,
}

/// Why a manifest could not be put into force.
#[derive(Debug)]
enum Failure {
    /// It is not valid.
    Rejected(String),
    /// The store did not give its chunks; they are asked for again.
    Unavailable,
}

impl BlocksFollower {
    /// Follows both for good.
    pub(crate) async fn run(self) {
        let changes = self.mesh.configuration_changes();
        let (sender, manifests) = smol::channel::bounded(1);
        let from_store = self.clone().follow_store(sender.clone());
        let from_mesh = self.clone().follow_mesh(changes, sender);
        let taking = self.take_all(manifests);
        smol::future::zip(smol::future::zip(from_store, from_mesh), taking).await;
    }

    async fn follow_store(self, manifests: Sender<Manifest>) {
        let mut after = StoreIndex::ABSENT;
        let mut backoff = Backoff::new(BackoffOptions::default());
        loop {
            if !self.mesh.is_watcher() {
                Timer::after(ROLE_CHECK).await;
                continue;
            }
            match self.watch_once(&mut after, &manifests).await {
                Ok(()) => {
                    backoff.record_success();
                    Timer::after(WATCH_GAP).await;
                }
                // The store is not to blame: it was not asked.
                Err(StoreError::OverBudget { .. }) => drop(Timer::after(ROLE_CHECK).await),
                Err(_) => drop(Timer::after(backoff.record_failure(fastrand::f64())).await),
            }
        }
    }

    /// Waits for one answer of the store and passes it on.
    async fn watch_once(
        &self,
        after: &mut StoreIndex,
        manifests: &Sender<Manifest>,
    ) -> Result<(), StoreError> {
        let listing = self.store.watch(MANIFEST_KEY, *after, WATCH_WAIT).await?;
        // An index that went back means that the store was set up anew.
        let went_back = listing.index < *after;
        *after = if went_back {
            StoreIndex::ABSENT
        } else {
            listing.index
        };
        let mut entries = listing.entries.into_iter();
        let Some(entry) = entries.find(|entry| entry.key == MANIFEST_KEY) else {
            return Ok(());
        };
        if let Some(manifest) = self.read(&entry.value) {
            self.publish(&manifest, entry.value);
            // The receiver lives as long as this task.
            let _ = manifests.send(manifest).await;
        }
        Ok(())
    }

    /// Gives a manifest to the mesh.
    fn publish(&self, manifest: &Manifest, value: Vec<u8>) {
        let Ok(organisation) = RESERVED_NAME.parse() else {
            return;
        };
        self.mesh.publish_configuration(&Document {
            organisation,
            revision: Revision::new(manifest.revision),
            bytes: value.into(),
        });
    }

    async fn follow_mesh(self, changes: Receiver<Document>, manifests: Sender<Manifest>) {
        for document in self.mesh.configurations() {
            self.pass_on(&document, &manifests).await;
        }
        while let Ok(document) = changes.recv().await {
            self.pass_on(&document, &manifests).await;
        }
    }

    async fn pass_on(&self, document: &Document, manifests: &Sender<Manifest>) {
        if document.organisation.as_str() != RESERVED_NAME {
            return;
        }
        if let Some(manifest) = self.read(&document.bytes) {
            // The receiver lives as long as this task.
            let _ = manifests.send(manifest).await;
        }
    }

    fn read(&self, value: &[u8]) -> Option<Manifest> {
        match Manifest::decode(value) {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                self.reject(&error.to_string());
                None
            }
        }
    }

    /// Puts manifests into force, the newest that has come.
    async fn take_all(self, manifests: Receiver<Manifest>) {
        let mut backoff = Backoff::new(BackoffOptions::default());
        while let Ok(mut manifest) = manifests.recv().await {
            while let Err(failure) = self.take(&manifest).await {
                if let Failure::Rejected(cause) = failure {
                    self.reject(&cause);
                    break;
                }
                Timer::after(backoff.record_failure(fastrand::f64())).await;
                while let Ok(newer) = manifests.try_recv() {
                    manifest = newer;
                }
            }
            backoff.record_success();
        }
    }

    async fn take(&self, manifest: &Manifest) -> Result<(), Failure> {
        if manifest.revision <= self.in_force.revision() {
            return Ok(());
        }
        let current = self.in_force.0.load_full();
        let following = current.filter(|blocks| manifest.can_advance(blocks));
        let blocks = match following {
            Some(blocks) => advance(manifest.clone(), blocks).await?,
            None => self.load(manifest).await?,
        };
        let detail = format!("revision={} blocks={}", blocks.revision(), blocks.len());
        self.in_force.0.store(Some(Arc::new(blocks)));
        self.note(EventCode::ClientBlocksApplied, detail);
        Ok(())
    }

    /// Reads the chunks; later ones of many instances after a while, so that
    /// they do not ask the store all at once. The first table is read at once,
    /// for instances start one by one.
    async fn load(&self, manifest: &Manifest) -> Result<ClientBlocks, Failure> {
        if self.in_force.revision() > 0 {
            Timer::after(LOAD_SPREAD.mul_f64(fastrand::f64())).await;
        }
        let loaded = load_table(&*self.store, manifest).await;
        loaded.map_err(|error| match error {
            foxtide_config::blocks::BlocksChangeError::Blocks(error) => {
                Failure::Rejected(error.to_string())
            }
            _ => Failure::Unavailable,
        })
    }

    fn reject(&self, cause: &str) {
        self.note(EventCode::ClientBlocksRejected, cause.to_owned());
    }

    fn note(&self, code: EventCode, detail: String) {
        self.recorder.record(code, EventFields::detail(detail));
    }
}

/// Applies the newest changes, which takes tens of milliseconds, aside from
/// the workers.
async fn advance(manifest: Manifest, blocks: Arc<ClientBlocks>) -> Result<ClientBlocks, Failure> {
    let advanced = smol::unblock(move || manifest.advance(&blocks)).await;
    advanced.map_err(|error| Failure::Rejected(error.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::blocks::{
        Block,
        SiteTable, //
    };

    fn site(name: &str, region: &str, alternatives: &[&str]) -> Site {
        let alternatives = alternatives.iter().map(|name| name.parse().unwrap());
        Site {
            site: name.parse().unwrap(),
            region: region.parse().unwrap(),
            alternatives: alternatives.collect(),
        }
    }

    #[test]
    fn verify_an_alternative_stands_in_for_a_region_without_instances() {
        let sites = SiteTable::new(vec![
            site("windhoek", "khomas", &["gobabis", "walvis"]),
            site("gobabis", "omaheke", &[]),
            site("walvis", "erongo", &[]),
        ]);
        let sites = sites.unwrap();
        let block = Block {
            net: "10.0.0.0/8".parse().unwrap(),
            site: sites.index_of(&"windhoek".parse().unwrap()).unwrap(),
        };
        let blocks = ClientBlocks::new(1, sites, &[block]).unwrap();
        let in_force = BlocksInForce::default();
        in_force.0.store(Some(Arc::new(blocks)));
        let region = |client: &str, live: &[&str]| {
            let is_live = |region: &RegionId| live.contains(&region.as_str());
            let found = in_force.region_of(client.parse().unwrap(), is_live);
            found.map(|region| region.to_string())
        };
        assert_eq!(region("10.1.1.1", &["khomas", "erongo"]).unwrap(), "khomas");
        assert_eq!(region("10.1.1.1", &["erongo"]).unwrap(), "erongo");
        assert_eq!(region("10.1.1.1", &[]).unwrap(), "khomas");
        assert_eq!(region("11.1.1.1", &["khomas"]), None);
    }
}
