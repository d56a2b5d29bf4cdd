//! Client blocks in the store: reading the table, changing it, writing it
//! anew.
//!
//! A change is accepted when the compare-and-swap on the manifest succeeded.
//! Chunks lie under the checksum of their bytes and are written before the
//! manifest that names them; those that no manifest names any more are deleted
//! after it.

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

/// The name under which the mesh spreads the manifest. No organisation may
/// have a name that begins as it does.
pub const RESERVED_NAME: &str = "foxtide-client-blocks";

/// How the names begin that no organisation may have.
pub const RESERVED_PREFIX: &str = "foxtide-";
