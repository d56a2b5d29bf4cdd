//! The compare-and-swap of the manifest.

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

/// How often an unknown write is read back and tried again.
const SETTLE_TRIES: u32 = 5;

/// The wait before the first of these; each further one is twice as long.
const SETTLE_WAIT: Duration = Duration::from_millis(100);

/// The manifest as it was read, the base of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredManifest {
    /// The manifest.
    pub manifest: Manifest,
    /// The index to compare with when it is written.
    pub index: StoreIndex,
}

/// An accepted table or change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedBlocks {
    /// The manifest as it was accepted.
    pub manifest: Manifest,
    /// Whether the answer was lost and the change was found by reading.
    pub settled: bool,
}

/// Reads the manifest; none where there are no client blocks.
///
/// # Errors
///
/// Fails where the store does, or where the stored value is invalid.
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
/// Fails with [`BlocksChangeError::Conflict`] where another change came first
/// and with [`BlocksChangeError::Unsettled`] where the outcome stayed unknown;
/// after all other errors the manifest is as it was.
pub async fn replace<S: Store>(
    store: &S,
    base: Option<&StoredManifest>,
    sites: SiteTable,
    blocks: &[Block],
) -> Result<PublishedBlocks, BlocksChangeError> {
    let revision = base.map_or(0, |base| base.manifest.revision) + 1;
    let table = ClientBlocks::new(revision, sites, blocks)?;
    publish_whole(store, base, &table).await
}

/// Sets some blocks and takes others out.
///
/// # Errors
///
/// As [`replace`].
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
    let manifest = changed(&base.manifest, delta)?;
    if manifest.needs_rewrite()? {
        let table = chunks::load_table(store, &manifest).await?;
        return publish_whole(store, Some(base), &table).await;
    }
    let settled = write(store, &manifest, base.index).await?;
    Ok(PublishedBlocks { manifest, settled })
}

/// Returns the manifest after a change, checked.
fn changed(base: &Manifest, delta: Delta) -> BlocksResult<Manifest> {
    let empty = ClientBlocks::new(delta.base_revision, base.sites.clone(), &[])?;
    empty.apply(&delta)?;
    let mut manifest = base.clone();
    manifest.add(delta)?;
    Ok(manifest)
}

/// Writes a table's chunks, then its manifest, and deletes chunks that are no
/// longer named.
async fn publish_whole<S: Store>(
    store: &S,
    base: Option<&StoredManifest>,
    table: &ClientBlocks,
) -> Result<PublishedBlocks, BlocksChangeError> {
    let (manifest, values) = Manifest::of(table);
    let listed = chunks::list(store).await?;
    chunks::write(store, values).await?;
    let expected = base.map_or(StoreIndex::ABSENT, |base| base.index);
    let settled = write(store, &manifest, expected).await?;
    chunks::delete_unnamed(store, &listed, &manifest).await;
    Ok(PublishedBlocks { manifest, settled })
}

/// Writes the manifest if it still has the expected index. Tells whether the
/// answer was lost and the write was found by reading.
async fn write<S: Store>(
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

/// Settles a write whose answer was lost: looks for it, and writes it again
/// where the base still stands. Both writes compare with the same index, so at
/// most one takes effect.
async fn settle<S: Store>(
    store: &S,
    value: &[u8],
    expected: StoreIndex,
    lost_answer: StoreError,
) -> Result<bool, BlocksChangeError> {
    let mut cause = lost_answer;
    let mut wait = SETTLE_WAIT;
    for _ in 0..SETTLE_TRIES {
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

/// Returns whether the write was found; `None` where it must be tried again.
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
        // Ours may have been there before this one.
        return Ok(Some(false));
    }
    let written = store.write(MANIFEST_KEY, value.to_vec(), expected).await?;
    Ok(written.then_some(true))
}
