//! Builds a table from the chunks that lie in the store.

use super::codec::decode_chunk;
use super::columns::Columns;
use super::family::{V4, V6};
use super::{BlocksError, BlocksResult, ClientBlocks, SiteTable};
use std::sync::Arc;

/// Takes chunks one by one, so that a load needs little more memory than the
/// table itself.
#[derive(Debug)]
pub struct ClientBlocksBuilder {
    table: ClientBlocks,
}

impl ClientBlocksBuilder {
    /// Returns a builder with room for `v4_blocks` blocks of v4, which come
    /// first; room for others grows as they come.
    pub fn new(revision: u64, sites: SiteTable, v4_blocks: usize) -> Self {
        let table = ClientBlocks {
            revision,
            sites: Arc::new(sites),
            v4: Columns::with_capacity(v4_blocks),
            v6: Columns::default(),
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
                self.check(entry.site)?;
                self.table.v4.push(entry)?;
            }
        } else {
            for entry in columns.entries::<V6>()? {
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

    fn check(&self, site: super::SiteIndex) -> BlocksResult<()> {
        let known = self.table.sites.get(site);
        known.map(|_| ()).ok_or(BlocksError::UnknownSite { site })
    }
}
