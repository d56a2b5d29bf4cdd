//! The mapping of blocks of client addresses to sites.
//!
//! [`ClientBlocks`] is an immutable table with longest-prefix match (RFC 4632,
//! section 5.1). A change makes a new table, which the caller swaps in while
//! look-ups continue in the old one. The store holds a table as a [`Manifest`],
//! chunks and deltas, each small enough for one value.

mod builder;
mod codec;
mod columns;
mod delta;
mod errors;
mod family;
mod manifest;
mod search;
mod site;
mod table;

pub use builder::{
    BlockCounts,
    ClientBlocksBuilder, //
};
pub use delta::Delta;
pub use errors::{
    BlocksError,
    BlocksResult, //
};
pub use manifest::{
    CHUNK_PREFIX,
    Checksum,
    ChunkRef,
    MANIFEST_KEY,
    Manifest, //
};
pub use site::{
    Site,
    SiteIndex,
    SiteTable, //
};
pub use table::{
    Block,
    ClientBlocks, //
};
