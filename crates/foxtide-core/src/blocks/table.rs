//! The table of all client blocks.

use super::codec::encode_chunks;
use super::columns::{
    Columns,
    Entry, //
};
use super::delta::{
    Change,
    SortedDelta, //
};
use super::family::{
    Address,
    Family,
    V4,
    V6, //
};
use super::{
    BlockCounts,
    BlocksResult,
    ClientBlocksBuilder,
    Delta,
    Site,
    SiteIndex,
    SiteTable, //
};
use ipnet::IpNet;
use std::net::IpAddr;
use std::sync::Arc;

/// A block of client addresses and the site that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Block {
    /// The block.
    pub net: IpNet,
    /// The site's number in the table.
    pub site: SiteIndex,
}

/// An immutable table of client blocks.
#[derive(Clone, Debug)]
pub struct ClientBlocks {
    pub(super) revision: u64,
    pub(super) sites: Arc<SiteTable>,
    pub(super) v4: Columns<V4>,
    pub(super) v6: Columns<V6>,
}

impl ClientBlocks {
    /// Returns the table of these blocks, given in any order.
    ///
    /// # Errors
    ///
    /// Fails where a block is given twice, is a v6 block longer than /64, or
    /// names a site that there is not.
    pub fn new(revision: u64, sites: SiteTable, blocks: &[Block]) -> BlocksResult<Self> {
        let empty = ClientBlocksBuilder::new(revision, sites, BlockCounts::default()).finish();
        let delta = Delta {
            base_revision: revision,
            revision,
            set: blocks.to_vec(),
            removed: Vec::new(),
        };
        empty.apply(&delta)
    }

    /// Returns the table's revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the sites.
    pub fn sites(&self) -> &SiteTable {
        &self.sites
    }

    /// Returns the site of the longest block that holds a client's address.
    pub fn site_of(&self, client: IpAddr) -> Option<&Site> {
        let index = match Address::from(client) {
            Address::V4(address) => self.v4.find(address),
            Address::V6(address) => self.v6.find(address),
        };
        self.sites.get(index?)
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Returns the number of blocks of each family.
    pub fn counts(&self) -> BlockCounts {
        BlockCounts {
            v4_blocks: self.v4.len(),
            v6_blocks: self.v6.len(),
        }
    }

    /// Tells whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that the blocks take, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.v4.size_bytes() + self.v6.size_bytes()
    }

    /// Returns all blocks, v4 first, each family ascending.
    pub fn blocks(&self) -> impl Iterator<Item = Block> + '_ {
        let v4 = self.v4.entries().map(to_block::<V4>);
        v4.chain(self.v6.entries().map(to_block::<V6>))
    }

    /// Returns the table after a change; this one stays as it is.
    ///
    /// # Errors
    ///
    /// Fails where the delta follows another revision, sets a block twice,
    /// sets one that is longer than valid, or names a site that there is not.
    pub fn apply(&self, delta: &Delta) -> BlocksResult<Self> {
        delta.check_base(self.revision)?;
        let sorted = SortedDelta::new(delta, &self.sites)?;
        Ok(Self {
            revision: delta.revision,
            sites: Arc::clone(&self.sites),
            v4: merge(&self.v4, &sorted.v4)?,
            v6: merge(&self.v6, &sorted.v6)?,
        })
    }

    /// Returns the table as values for the store, which
    /// [`ClientBlocksBuilder::add_chunk`] reads.
    pub fn chunks(&self) -> Vec<Vec<u8>> {
        let mut chunks = encode_chunks::<V4>(self.v4.entries());
        chunks.extend(encode_chunks::<V6>(self.v6.entries()));
        chunks
    }
}

fn to_block<F: Family>(entry: Entry) -> Block {
    Block {
        net: F::to_net(entry.prefix),
        site: entry.site,
    }
}

/// Merges sorted changes into a table.
fn merge<F: Family>(old: &Columns<F>, changes: &[Change]) -> BlocksResult<Columns<F>> {
    let mut merged = Columns::with_capacity(old.len() + changes.len());
    let mut unchanged = old.entries().peekable();
    for change in changes {
        while let Some(entry) = unchanged.next_if(|entry| entry.prefix < change.prefix) {
            merged.push(entry)?;
        }
        unchanged.next_if(|entry| entry.prefix == change.prefix);
        if let Some(site) = change.site {
            let prefix = change.prefix;
            merged.push(Entry { prefix, site })?;
        }
    }
    for entry in unchanged {
        merged.push(entry)?;
    }
    merged.shrink();
    Ok(merged)
}
