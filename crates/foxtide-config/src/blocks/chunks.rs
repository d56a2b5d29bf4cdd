//! Reads, writes and deletes the chunks of a table.

use super::BlocksChangeError;
use foxtide_core::blocks::{
    BlocksError,
    CHUNK_PREFIX,
    ChunkRef,
    ClientBlocks,
    Manifest, //
};
use foxtide_core::store::{
    Store,
    StoreEntry,
    StoreError,
    StoreIndex,
    StoreResult, //
};
use smol::Timer;
use std::time::Duration;

/// Attempts to write a chunk.
const WRITE_ATTEMPTS_MAX: u32 = 5;

/// Wait after a read that the call budget refused.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the table of a manifest, waiting if the call budget refuses a read.
///
/// # Errors
///
/// Fails if the store fails or a chunk is missing or invalid.
pub async fn load_table<S: Store>(
    store: &S,
    manifest: &Manifest,
) -> Result<ClientBlocks, BlocksChangeError> {
    let mut values = Vec::new();
    for part in &manifest.chunks {
        let entry = read_within_budget(store, &part.key()).await?;
        let entry = entry.ok_or_else(|| missing_chunk(part))?;
        values.push(entry.value);
    }
    // CPU-bound: must not block the executor.
    let manifest = manifest.clone();
    Ok(smol::unblock(move || manifest.load(values)).await?)
}

async fn read_within_budget<S: Store>(store: &S, key: &str) -> StoreResult<Option<StoreEntry>> {
    loop {
        match store.read(key).await {
            Err(StoreError::OverBudget { .. }) => Timer::after(BUDGET_RETRY_INTERVAL).await,
            answered => return answered,
        };
    }
}

fn missing_chunk(part: &ChunkRef) -> BlocksError {
    BlocksError::Decode {
        problem: format!("{} is missing", part.key()),
    }
}

/// Writes chunks, including existing ones: the new index keeps another writer from
/// deleting a chunk that it saw unreferenced.
pub(super) async fn write<S: Store>(
    store: &S,
    values: Vec<Vec<u8>>,
) -> Result<(), BlocksChangeError> {
    for value in values {
        let key = ChunkRef::of(&value).key();
        write_one(store, &key, value).await?;
    }
    Ok(())
}

async fn write_one<S: Store>(
    store: &S,
    key: &str,
    value: Vec<u8>,
) -> Result<(), BlocksChangeError> {
    let mut latest = None;
    for _ in 0..WRITE_ATTEMPTS_MAX {
        let known = store.read(key).await?;
        let index = known.map_or(StoreIndex::ABSENT, |entry| entry.index);
        match store.write(key, value.clone(), index).await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            // Writing the same bytes again is idempotent.
            Err(error @ StoreError::Unknown { .. }) => latest = Some(error),
            Err(error) => return Err(error.into()),
        }
    }
    let conflict = || StoreError::Rejected {
        step: "write a chunk",
        peer: key.to_owned(),
        status: 409,
        cause: "written concurrently in every attempt".to_owned(),
    };
    Err(latest.unwrap_or_else(conflict).into())
}

/// Returns the chunks in the store.
pub(super) async fn list<S: Store>(store: &S) -> Result<Vec<StoreEntry>, BlocksChangeError> {
    Ok(store.list(CHUNK_PREFIX).await?.entries)
}

/// Deletes the listed chunks that a manifest does not reference. A chunk that cannot be
/// deleted is left to the next change.
pub(super) async fn delete_unreferenced<S: Store>(
    store: &S,
    listed: &[StoreEntry],
    manifest: &Manifest,
) {
    let named: Vec<String> = manifest.chunks.iter().map(ChunkRef::key).collect();
    for entry in listed.iter().filter(|entry| !named.contains(&entry.key)) {
        if let Err(error) = store.delete(&entry.key, entry.index).await {
            log::debug!("failed to delete unreferenced chunk {}: {error}", entry.key);
        }
    }
}
