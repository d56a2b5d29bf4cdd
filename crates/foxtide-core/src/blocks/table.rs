//! The table of client blocks.

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
    /// The network.
    pub net: IpNet,
    /// The site's index.
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
    /// Creates a table of blocks, given in any order.
    ///
    /// # Errors
    ///
    /// Fails if a block occurs twice, is an IPv6 block longer than /64 or refers to
    /// an unknown site.
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

    /// Returns the site of the longest block that contains a client's address.
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

    /// Returns the number of blocks of each address family.
    pub fn counts(&self) -> BlockCounts {
        BlockCounts {
            v4_blocks: self.v4.len(),
            v6_blocks: self.v6.len(),
        }
    }

    /// Returns whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the allocated memory of the blocks in bytes.
    pub fn size_bytes(&self) -> usize {
        self.v4.size_bytes() + self.v6.size_bytes()
    }

    /// Returns all blocks, IPv4 first, in ascending order per family.
    pub fn blocks(&self) -> impl Iterator<Item = Block> + '_ {
        let v4 = self.v4.entries().map(to_block::<V4>);
        v4.chain(self.v6.entries().map(to_block::<V6>))
    }

    /// Returns a new table with a delta applied.
    ///
    /// # Errors
    ///
    /// Fails if the delta applies to another revision, changes a block twice, has
    /// one whose prefix is too long, or refers to an unknown site.
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

    /// Encodes the table as values for the store, which
    /// [`ClientBlocksBuilder::add_chunk`] decodes.
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

/// Merges sorted changes into a copy of the table.
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
