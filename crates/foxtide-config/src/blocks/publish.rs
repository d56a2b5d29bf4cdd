//! Writes the manifest by compare-and-swap.

use super::{
    BlocksChangeError,
    chunks, //
};
use foxtide_core::blocks::{
    Block,
    BlocksResult,
    ClientBlocks,
    Delta,
    MANIFEST_KEY,
    Manifest,
    SiteTable, //
};
use foxtide_core::store::{
    Store,
    StoreError,
    StoreIndex, //
};
use ipnet::IpNet;
use smol::Timer;
use std::time::Duration;

/// Attempts to resolve a write with an unknown outcome.
const SETTLE_ATTEMPTS_MAX: u32 = 5;

/// Wait before the first attempt; doubles with each further one.
const SETTLE_WAIT_INITIAL: Duration = Duration::from_millis(100);

/// A manifest read from the store, the base of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// Index of the key, for compare-and-swap.
    pub index: StoreIndex,
}

/// An accepted table or change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedBlocks {
    /// The accepted manifest.
    pub manifest: Manifest,
    /// Whether the answer was lost and the outcome resolved by reading.
    pub settled: bool,
}

/// Reads the manifest; `None` if there are no client blocks.
///
/// # Errors
///
/// Fails if the store fails or the stored value is invalid.
pub async fn load_manifest<S: Store>(
    store: &S,
) -> Result<Option<StoredManifest>, BlocksChangeError> {
    let Some(entry) = store.read(MANIFEST_KEY).await? else {
        return Ok(None);
    };
    Ok(Some(StoredManifest {
        manifest: Manifest::decode(&entry.value)?,
        index: entry.index,
    }))
}

/// Replaces the whole table by `blocks` and `sites`.
///
/// # Errors
///
/// Fails with [`BlocksChangeError::Conflict`] if another change was accepted first and
/// with [`BlocksChangeError::Unsettled`] if the outcome is unknown; after other errors the
/// manifest is unchanged.
pub async fn replace<S: Store>(
    store: &S,
    base: Option<&StoredManifest>,
    sites: SiteTable,
    blocks: &[Block],
) -> Result<PublishedBlocks, BlocksChangeError> {
    let revision = base.map_or(0, |base| base.manifest.revision) + 1;
    let table = ClientBlocks::new(revision, sites, blocks)?;
    publish_table(store, base, &table).await
}

/// Sets some blocks and removes others.
///
/// # Errors
///
/// Fails like [`replace`].
pub async fn change<S: Store>(
    store: &S,
    base: &StoredManifest,
    set: Vec<Block>,
    removed: Vec<IpNet>,
) -> Result<PublishedBlocks, BlocksChangeError> {
    let delta = Delta {
        base_revision: base.manifest.revision,
        revision: base.manifest.revision + 1,
        set,
        removed,
    };
    let manifest = with_delta(&base.manifest, delta)?;
    if manifest.needs_rewrite()? {
        let table = chunks::load_table(store, &manifest).await?;
        return publish_table(store, Some(base), &table).await;
    }
    let settled = write_manifest(store, &manifest, base.index).await?;
    Ok(PublishedBlocks { manifest, settled })
}

/// Returns the manifest with a valid delta added.
fn with_delta(base: &Manifest, delta: Delta) -> BlocksResult<Manifest> {
    let empty = ClientBlocks::new(delta.base_revision, base.sites.clone(), &[])?;
    empty.apply(&delta)?;
    let mut manifest = base.clone();
    manifest.add(delta)?;
    Ok(manifest)
}

/// Writes a table's chunks and its manifest, then deletes unreferenced chunks.
async fn publish_table<S: Store>(
    store: &S,
    base: Option<&StoredManifest>,
    table: &ClientBlocks,
) -> Result<PublishedBlocks, BlocksChangeError> {
    let (manifest, values) = Manifest::of(table);
    let listed = chunks::list(store).await?;
    chunks::write(store, values).await?;
    let expected = base.map_or(StoreIndex::ABSENT, |base| base.index);
    let settled = write_manifest(store, &manifest, expected).await?;
    chunks::delete_unreferenced(store, &listed, &manifest).await;
    Ok(PublishedBlocks { manifest, settled })
}

/// Writes the manifest if its index is the expected one. Returns whether the answer was
/// lost and the outcome resolved by reading.
async fn write_manifest<S: Store>(
    store: &S,
    manifest: &Manifest,
    expected: StoreIndex,
) -> Result<bool, BlocksChangeError> {
    let value = manifest.encode()?;
    match store.write(MANIFEST_KEY, value.clone(), expected).await {
        Ok(true) => Ok(false),
        Ok(false) => Err(conflict(store).await),
        Err(error @ StoreError::Unknown { .. }) => settle(store, &value, expected, error).await,
        Err(error) => Err(error.into()),
    }
}

async fn conflict<S: Store>(store: &S) -> BlocksChangeError {
    match load_manifest(store).await {
        Ok(stored) => BlocksChangeError::Conflict {
            revision: stored.map_or(0, |stored| stored.manifest.revision),
        },
        Err(error) => error,
    }
}

/// Resolves a write with an unknown outcome: searches for it and writes it again if the
/// base is unchanged. Both writes compare with the same index, so at most one takes effect.
async fn settle<S: Store>(
    store: &S,
    value: &[u8],
    expected: StoreIndex,
    lost_answer: StoreError,
) -> Result<bool, BlocksChangeError> {
    let mut cause = lost_answer;
    let mut wait = SETTLE_WAIT_INITIAL;
    for _ in 0..SETTLE_ATTEMPTS_MAX {
        Timer::after(wait).await;
        wait *= 2;
        match settle_once(store, value, expected).await {
            Ok(Some(true)) => return Ok(true),
            Ok(Some(false)) => break,
            Ok(None) => {}
            Err(error) => cause = error,
        }
    }
    Err(BlocksChangeError::Unsettled { cause })
}

/// Returns whether the write was found; `None` if another attempt is needed.
async fn settle_once<S: Store>(
    store: &S,
    value: &[u8],
    expected: StoreIndex,
) -> Result<Option<bool>, StoreError> {
    let entry = store.read(MANIFEST_KEY).await?;
    if entry.as_ref().is_some_and(|entry| entry.value == value) {
        return Ok(Some(true));
    }
    let index = entry.map_or(StoreIndex::ABSENT, |entry| entry.index);
    if index != expected {
        // Our write may have been overwritten by another.
        return Ok(Some(false));
    }
    let written = store.write(MANIFEST_KEY, value.to_vec(), expected).await?;
    Ok(written.then_some(true))
}
