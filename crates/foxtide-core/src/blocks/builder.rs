//! Builds a table from the chunks in the store.

use super::codec::decode_chunk;
use super::columns::Columns;
use super::family::{
    V4,
    V6, //
};
use super::{
    BlocksError,
    BlocksResult,
    ClientBlocks,
    SiteIndex,
    SiteTable, //
};
use std::sync::Arc;

/// The number of blocks of each address family.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockCounts {
    /// The IPv4 blocks.
    pub v4_blocks: usize,
    /// The IPv6 blocks.
    pub v6_blocks: usize,
}

/// The maximum capacity reserved per family; limits the effect of a wrong count.
const CAPACITY_MAX_BLOCKS: usize = 4_000_000;

impl BlockCounts {
    fn bounded(self) -> Self {
        Self {
            v4_blocks: self.v4_blocks.min(CAPACITY_MAX_BLOCKS),
            v6_blocks: self.v6_blocks.min(CAPACITY_MAX_BLOCKS),
        }
    }
}

/// A builder that decodes one chunk at a time to bound its memory use.
#[derive(Debug)]
pub struct ClientBlocksBuilder {
    table: ClientBlocks,
}

impl ClientBlocksBuilder {
    /// Creates a builder with a reserved capacity.
    pub fn new(revision: u64, sites: SiteTable, capacity: BlockCounts) -> Self {
        let capacity = capacity.bounded();
        let table = ClientBlocks {
            revision,
            sites: Arc::new(sites),
            v4: Columns::with_capacity(capacity.v4_blocks),
            v6: Columns::with_capacity(capacity.v6_blocks),
        };
        Self { table }
    }

    /// Adds the next chunk, in the order of [`ClientBlocks::chunks`].
    ///
    /// # Errors
    ///
    /// Fails if the checksum differs, blocks are out of order or a site is unknown.
    pub fn add_chunk(&mut self, value: &[u8]) -> BlocksResult<()> {
        let columns = decode_chunk(value)?;
        if columns.is_v4() {
            for entry in columns.entries::<V4>()? {
                let entry = entry?;
                self.check(entry.site)?;
                self.table.v4.push(entry)?;
            }
        } else {
            for entry in columns.entries::<V6>()? {
                let entry = entry?;
                self.check(entry.site)?;
                self.table.v6.push(entry)?;
            }
        }
        Ok(())
    }

    /// Returns the table.
    pub fn finish(mut self) -> ClientBlocks {
        self.table.v4.shrink();
        self.table.v6.shrink();
        self.table
    }

    fn check(&self, site: SiteIndex) -> BlocksResult<()> {
        let known = self.table.sites.get(site);
        known.map(|_| ()).ok_or(BlocksError::UnknownSite { site })
    }
}
