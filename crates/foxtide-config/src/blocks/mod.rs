//! Reads and writes the table of client blocks in the store.
//!
//! A change is accepted if the compare-and-swap on the manifest succeeds. Chunks are
//! keyed by their checksum and written before the manifest that references them;
//! unreferenced chunks are deleted after it.

mod chunks;
mod errors;
mod publish;

pub use chunks::load_table;
pub use errors::BlocksChangeError;
pub use publish::{
    PublishedBlocks,
    StoredManifest,
    change,
    load_manifest,
    replace, //
};

/// Name under which the mesh propagates the manifest.
pub const RESERVED_NAME: &str = "foxtide-client-blocks";

/// Prefix of names that organisations must not have.
pub const RESERVED_PREFIX: &str = "foxtide-";
