//! Builds a table from the chunks that lie in the store.

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

/// How many blocks of each family a table has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BlockCounts {
    /// Blocks of v4.
    pub v4_blocks: usize,
    /// Blocks of v6.
    pub v6_blocks: usize,
}

/// The most blocks of a family for which room is made before they come, so
/// that a wrong count does no harm.
const CAPACITY_MAX_BLOCKS: usize = 4_000_000;

impl BlockCounts {
    fn bounded(self) -> Self {
        Self {
            v4_blocks: self.v4_blocks.min(CAPACITY_MAX_BLOCKS),
            v6_blocks: self.v6_blocks.min(CAPACITY_MAX_BLOCKS),
        }
    }
}

/// Takes chunks one by one, so that a load needs little more memory than the
/// table itself.
#[derive(Debug)]
pub struct ClientBlocksBuilder {
    table: ClientBlocks,
}

impl ClientBlocksBuilder {
    /// Returns a builder with room for so many blocks.
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

    /// Adds a chunk, in the order in which [`ClientBlocks::chunks`] gave them.
    ///
    /// # Errors
    ///
    /// Fails where the bytes were changed, where blocks do not ascend, or
    /// where one names a site that there is not.
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
