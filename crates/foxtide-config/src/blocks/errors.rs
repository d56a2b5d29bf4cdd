//! Why the client blocks could not be read or changed.

use foxtide_core::blocks::BlocksError;
use foxtide_core::store::StoreError;

/// Why the client blocks could not be read or changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlocksChangeError {
    /// The store failed; the manifest was not changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The blocks are not valid; nothing was changed.
    #[error(transparent)]
    Blocks(#[from] BlocksError),
    /// Another change came first; the manifest was not changed.
    #[error("client blocks, write: another change came first, the table is at {revision}")]
    Conflict {
        /// The revision in the store.
        revision: u64,
    },
    /// The answer to the write was lost and reading did not settle it.
    #[error("client blocks, write: outcome unknown: {cause}")]
    Unsettled {
        /// Why.
        cause: StoreError,
    },
}
