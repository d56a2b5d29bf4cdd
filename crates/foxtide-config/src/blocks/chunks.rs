//! The chunks of a table.

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

/// How often a chunk is written again whose answer was lost.
const WRITE_TRIES: u32 = 5;

/// The wait after a read that the instance's call budget held back.
const BUDGET_WAIT: Duration = Duration::from_secs(1);

/// Reads the table that a manifest names. Waits where the instance's call
/// budget holds a read back.
///
/// # Errors
///
/// Fails where the store does, or where a chunk is missing or wrong.
pub async fn load_table<S: Store>(
    store: &S,
    manifest: &Manifest,
) -> Result<ClientBlocks, BlocksChangeError> {
    let mut values = Vec::new();
    for part in &manifest.chunks {
        let entry = read_within_budget(store, &part.key()).await?;
        let entry = entry.ok_or_else(|| missing(part))?;
        values.push(entry.value);
    }
    // It takes tens of milliseconds: aside from the tasks of others.
    let manifest = manifest.clone();
    Ok(smol::unblock(move || manifest.load(values)).await?)
}

async fn read_within_budget<S: Store>(store: &S, key: &str) -> StoreResult<Option<StoreEntry>> {
    loop {
        match store.read(key).await {
            Err(StoreError::OverBudget { .. }) => Timer::after(BUDGET_WAIT).await,
            answered => return answered,
        };
    }
}

fn missing(part: &ChunkRef) -> BlocksError {
    BlocksError::Decode {
        problem: format!("{} is missing", part.key()),
    }
}

/// Writes chunks.
///
/// One that is there already is written again: its index rises, so that nobody
/// who saw it unused can delete it.
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
    for _ in 0..WRITE_TRIES {
        let known = store.read(key).await?;
        let index = known.map_or(StoreIndex::ABSENT, |entry| entry.index);
        match store.write(key, value.clone(), index).await {
            Ok(true) => return Ok(()),
            Ok(false) => {}
            // The same bytes again do no harm.
            Err(error @ StoreError::Unknown { .. }) => latest = Some(error),
            Err(error) => return Err(error.into()),
        }
    }
    let contended = || StoreError::Refused {
        step: "write a chunk",
        peer: key.to_owned(),
        status: 409,
        cause: "written by others each time".to_owned(),
    };
    Err(latest.unwrap_or_else(contended).into())
}

/// Returns the chunks that lie in the store now.
pub(super) async fn list<S: Store>(store: &S) -> Result<Vec<StoreEntry>, BlocksChangeError> {
    Ok(store.list(CHUNK_PREFIX).await?.entries)
}

/// Deletes chunks that a manifest does not name, as they were listed before
/// it was written.
///
/// One that cannot be deleted now is found by the next change.
pub(super) async fn delete_unnamed<S: Store>(
    store: &S,
    listed: &[StoreEntry],
    manifest: &Manifest,
) {
    let named: Vec<String> = manifest.chunks.iter().map(ChunkRef::key).collect();
    for entry in listed.iter().filter(|entry| !named.contains(&entry.key)) {
        if let Err(error) = store.delete(&entry.key, entry.index).await {
            log::debug!("delete {}: {error}", entry.key);
        }
    }
}
