//! Errors of reading and changing client blocks.

use foxtide_core::blocks::BlocksError;
use foxtide_core::store::StoreError;

/// An error of reading or changing client blocks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlocksChangeError {
    /// The store failed; the manifest was not changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The blocks are not valid; nothing was changed.
    #[error(transparent)]
    Blocks(#[from] BlocksError),
    /// Another change was accepted first; the manifest was not changed.
    #[error("client blocks, write: another change was accepted first, the table is at {revision}")]
    Conflict {
        /// Revision in the store.
        revision: u64,
    },
    /// The outcome of the write is unknown.
    #[error("client blocks, write: outcome unknown: {cause}")]
    Unsettled {
        /// Error of the latest call.
        cause: StoreError,
    },
}
