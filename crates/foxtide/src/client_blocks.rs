//! Loads client blocks and keeps them up to date.
//!
//! The watchers of each availability zone watch the manifest in the store and
//! publish it to the mesh as a document with a reserved name. The manifest
//! holds the latest changes; an instance that starts or has missed too many
//! changes reads the chunks from the store.

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

/// Maximum time a watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(55);

/// Minimum delay between a watch response and the next call.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// How often a non-watcher checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum random delay before reading chunks, which limits the load on the
/// store when all instances reload.
const LOAD_JITTER_MAX: Duration = Duration::from_secs(30);

/// The active client blocks. Clones share them; reads are lock-free.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveBlocks(Arc<ArcSwapOption<ClientBlocks>>);

impl ActiveBlocks {
    /// Returns the region that serves a client: the region of its site, or the
    /// first live alternative. If none is live, the region of the site.
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

/// Updates the client blocks from the store and the mesh.
#[derive(Clone, Debug)]
pub(crate) struct BlocksUpdater {
    pub(crate) active: ActiveBlocks,
    pub(crate) mesh: MeshHandle,
    pub(crate) store: Arc<NodeStore>,
    pub(crate) recorder: Recorder,
}

/// Why a manifest could not be applied.
#[derive(Debug)]
enum ApplyError {
    /// The manifest or its blocks are invalid.
    Rejected(String),
    /// The chunks could not be read from the store; the load is retried.
    Unavailable,
}

impl BlocksUpdater {
    /// Runs until the process ends.
    pub(crate) async fn run(self) {
        let changes = self.mesh.configuration_changes();
        let (sender, manifests) = smol::channel::bounded(1);
        let store_task = self.clone().watch_store(sender.clone());
        let mesh_task = self.clone().watch_mesh(changes, sender);
        let apply_task = self.apply_manifests(manifests);
        smol::future::zip(smol::future::zip(store_task, mesh_task), apply_task).await;
    }

    async fn watch_store(self, manifests: Sender<Manifest>) {
        let mut after = StoreIndex::ABSENT;
        let mut backoff = Backoff::new(BackoffOptions::default());
        loop {
            if !self.mesh.is_watcher() {
                Timer::after(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            match self.watch_once(&mut after, &manifests).await {
                Ok(()) => {
                    backoff.record_success();
                    Timer::after(WATCH_INTERVAL_MIN).await;
                }
                // The call was not sent, so the store's backoff is unchanged.
                Err(StoreError::OverBudget { .. }) => drop(Timer::after(ROLE_CHECK_INTERVAL).await),
                Err(_) => drop(Timer::after(backoff.record_failure(fastrand::f64())).await),
            }
        }
    }

    /// Waits for one watch response and forwards its manifest.
    async fn watch_once(
        &self,
        after: &mut StoreIndex,
        manifests: &Sender<Manifest>,
    ) -> Result<(), StoreError> {
        let listing = self
            .store
            .watch(MANIFEST_KEY, *after, WATCH_TIMEOUT)
            .await?;
        // A lower index means that the store was recreated.
        let is_reset = listing.index < *after;
        *after = if is_reset {
            StoreIndex::ABSENT
        } else {
            listing.index
        };
        let mut entries = listing.entries.into_iter();
        let Some(entry) = entries.find(|entry| entry.key == MANIFEST_KEY) else {
            return Ok(());
        };
        if let Some(manifest) = self.decode(&entry.value) {
            self.publish(&manifest, entry.value);
            // The receiver outlives this task.
            let _ = manifests.send(manifest).await;
        }
        Ok(())
    }

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

    async fn watch_mesh(self, changes: Receiver<Document>, manifests: Sender<Manifest>) {
        for document in self.mesh.configurations() {
            self.forward_document(&document, &manifests).await;
        }
        while let Ok(document) = changes.recv().await {
            self.forward_document(&document, &manifests).await;
        }
    }

    async fn forward_document(&self, document: &Document, manifests: &Sender<Manifest>) {
        if document.organisation.as_str() != RESERVED_NAME {
            return;
        }
        if let Some(manifest) = self.decode(&document.bytes) {
            // The receiver outlives this task.
            let _ = manifests.send(manifest).await;
        }
    }

    fn decode(&self, value: &[u8]) -> Option<Manifest> {
        match Manifest::decode(value) {
            Ok(manifest) => Some(manifest),
            Err(error) => {
                self.reject(&error.to_string());
                None
            }
        }
    }

    /// Applies received manifests, preferring the newest after a failure.
    async fn apply_manifests(self, manifests: Receiver<Manifest>) {
        let mut backoff = Backoff::new(BackoffOptions::default());
        while let Ok(mut manifest) = manifests.recv().await {
            while let Err(error) = self.apply(&manifest).await {
                if let ApplyError::Rejected(cause) = error {
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

    async fn apply(&self, manifest: &Manifest) -> Result<(), ApplyError> {
        if manifest.revision <= self.active.revision() {
            return Ok(());
        }
        let current = self.active.0.load_full();
        let previous = current.filter(|blocks| manifest.can_advance(blocks));
        let blocks = match previous {
            Some(blocks) => advance(manifest.clone(), blocks).await?,
            None => self.load(manifest).await?,
        };
        let detail = format!("revision={} blocks={}", blocks.revision(), blocks.len());
        self.active.0.store(Some(Arc::new(blocks)));
        self.record(EventCode::ClientBlocksApplied, detail);
        Ok(())
    }

    /// Reads the chunks from the store, after a random delay unless this is the
    /// first load.
    async fn load(&self, manifest: &Manifest) -> Result<ClientBlocks, ApplyError> {
        if self.active.revision() > 0 {
            Timer::after(LOAD_JITTER_MAX.mul_f64(fastrand::f64())).await;
        }
        let loaded = load_table(&*self.store, manifest).await;
        loaded.map_err(|error| match error {
            foxtide_config::blocks::BlocksChangeError::Blocks(error) => {
                ApplyError::Rejected(error.to_string())
            }
            _ => ApplyError::Unavailable,
        })
    }

    fn reject(&self, cause: &str) {
        self.record(EventCode::ClientBlocksRejected, cause.to_owned());
    }

    fn record(&self, code: EventCode, detail: String) {
        self.recorder.record(code, EventFields::detail(detail));
    }
}

/// Applies the changes of a manifest on the blocking pool, because this takes
/// tens of milliseconds.
async fn advance(
    manifest: Manifest,
    blocks: Arc<ClientBlocks>,
) -> Result<ClientBlocks, ApplyError> {
    let advanced = smol::unblock(move || manifest.advance(&blocks)).await;
    advanced.map_err(|error| ApplyError::Rejected(error.to_string()))
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
    fn verify_an_alternative_replaces_a_region_without_live_instances() {
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
        let active = ActiveBlocks::default();
        active.0.store(Some(Arc::new(blocks)));
        let region = |client: &str, live: &[&str]| {
            let is_live = |region: &RegionId| live.contains(&region.as_str());
            let found = active.region_of(client.parse().unwrap(), is_live);
            found.map(|region| region.to_string())
        };
        assert_eq!(region("10.1.1.1", &["khomas", "erongo"]).unwrap(), "khomas");
        assert_eq!(region("10.1.1.1", &["erongo"]).unwrap(), "erongo");
        assert_eq!(region("10.1.1.1", &[]).unwrap(), "khomas");
        assert_eq!(region("11.1.1.1", &["khomas"]), None);
    }
}
