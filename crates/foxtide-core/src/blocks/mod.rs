//! Which site serves which block of client addresses.
//!
//! [`ClientBlocks`] is an immutable table: a look-up finds the longest block
//! that holds an address (longest-prefix match, as RFC 4632 section 5.1), and
//! a change makes a new table, which the caller swaps in while look-ups go on
//! in the old one. The store holds the table as a [`Manifest`], chunks and
//! deltas, each below the size of one value. docs/design/client-blocks.md
//! weighs the structures.

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
