//! The manifest of a table of client blocks in the store.
//!
//! Chunks are content-addressed by checksum, so that a writer never changes a
//! value that is being read. The manifest, written last and by check-and-set,
//! lists the chunks of the table. It also contains the latest deltas, so that an
//! instance with an older table needs only the manifest.

use super::codec::{
    ChunkMessage,
    ManifestMessage,
    SiteMessage,
    verified_payload,
    with_checksum, //
};
use super::{
    BlockCounts,
    BlocksError,
    BlocksResult,
    ClientBlocks,
    ClientBlocksBuilder,
    Delta,
    Site,
    SiteTable, //
};
use prost::Message;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The key of the manifest.
pub const MANIFEST_KEY: &str = "foxtide/blocks/manifest";

/// The prefix of the keys of chunks, followed by their checksum.
pub const CHUNK_PREFIX: &str = "foxtide/blocks/chunks/";

/// The number of deltas at which the chunks are rewritten.
const DELTAS_MAX: usize = 16;

/// The size of the manifest above which the chunks are rewritten.
const SIZE_MAX_BYTES: usize = 65_536;

/// The XXH3 checksum of a value, displayed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Checksum(u64);

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A reference to a chunk of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkRef {
    /// The chunk's checksum.
    pub checksum: Checksum,
    /// The chunk's size.
    pub size_bytes: u64,
}

impl ChunkRef {
    /// Creates a reference to the chunk with this value.
    pub fn of(value: &[u8]) -> Self {
        Self {
            checksum: Checksum(xxh3_64(value)),
            size_bytes: value.len() as u64,
        }
    }

    /// Returns the chunk's key in the store.
    pub fn key(&self) -> String {
        format!("{CHUNK_PREFIX}{}", self.checksum)
    }

    /// Verifies the value of the chunk.
    ///
    /// # Errors
    ///
    /// Fails if the checksum or the size differs.
    pub fn check(&self, value: &[u8]) -> BlocksResult<()> {
        if Self::of(value) == *self {
            return Ok(());
        }
        Err(BlocksError::Checksum { part: self.key() })
    }
}

/// The description of a table in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Manifest {
    /// The revision after the last delta.
    pub revision: u64,
    /// The revision of the chunks, without the deltas.
    pub base_revision: u64,
    /// The number of blocks in the chunks.
    pub base_blocks: BlockCounts,
    /// The sites, in index order.
    pub sites: SiteTable,
    /// The chunks, in order.
    pub chunks: Vec<ChunkRef>,
    /// The deltas, in order.
    pub deltas: Vec<Delta>,
}

impl Manifest {
    /// Creates the manifest of a table, and the chunks to write before it.
    pub fn of(table: &ClientBlocks) -> (Self, Vec<Vec<u8>>) {
        let values = table.chunks();
        let manifest = Self {
            revision: table.revision(),
            base_revision: table.revision(),
            base_blocks: table.counts(),
            sites: table.sites().clone(),
            chunks: values.iter().map(|value| ChunkRef::of(value)).collect(),
            deltas: Vec::new(),
        };
        (manifest, values)
    }

    /// Appends a delta.
    ///
    /// # Errors
    ///
    /// Fails if the delta does not apply to the manifest's revision.
    pub fn add(&mut self, delta: Delta) -> BlocksResult<()> {
        delta.check_base(self.revision)?;
        self.revision = delta.revision;
        self.deltas.push(delta);
        Ok(())
    }

    /// Returns whether the deltas should be compacted into new chunks.
    ///
    /// # Errors
    ///
    /// Fails like [`Manifest::encode`].
    pub fn needs_rewrite(&self) -> BlocksResult<bool> {
        let has_many = self.deltas.len() >= DELTAS_MAX;
        Ok(has_many || (!self.deltas.is_empty() && self.encode()?.len() > SIZE_MAX_BYTES))
    }

    /// Encodes the manifest as a value for the store.
    ///
    /// # Errors
    ///
    /// Fails if a block occurs twice in a delta or its prefix is too long.
    pub fn encode(&self) -> BlocksResult<Vec<u8>> {
        let deltas: BlocksResult<Vec<Vec<u8>>> = self.deltas.iter().map(Delta::encode).collect();
        let message = ManifestMessage {
            revision: self.revision,
            base_revision: self.base_revision,
            v4_blocks: self.base_blocks.v4_blocks as u64,
            v6_blocks: self.base_blocks.v6_blocks as u64,
            sites: self.sites.sites().iter().map(to_site_message).collect(),
            chunks: self.chunks.iter().map(to_chunk_message).collect(),
            deltas: deltas?,
        };
        Ok(with_checksum(message.encode_to_vec()))
    }

    /// Decodes a manifest from the output of [`Manifest::encode`].
    ///
    /// # Errors
    ///
    /// Fails if the checksum differs or the value is not a manifest.
    pub fn decode(value: &[u8]) -> BlocksResult<Self> {
        let payload = verified_payload(value, "the manifest")?;
        let message = ManifestMessage::decode(&payload[..]).map_err(BlocksError::decode)?;
        let sites: BlocksResult<Vec<Site>> = message.sites.into_iter().map(to_site).collect();
        let deltas = message.deltas.iter().map(|value| Delta::decode(value));
        Ok(Self {
            revision: message.revision,
            base_revision: message.base_revision,
            base_blocks: BlockCounts {
                v4_blocks: usize::try_from(message.v4_blocks).unwrap_or(0),
                v6_blocks: usize::try_from(message.v6_blocks).unwrap_or(0),
            },
            sites: SiteTable::new(sites?)?,
            chunks: message.chunks.into_iter().map(to_chunk_ref).collect(),
            deltas: deltas.collect::<BlocksResult<_>>()?,
        })
    }

    /// Returns whether the deltas alone can bring a table to this revision.
    ///
    /// Check-and-set makes the content of a revision unique, so that comparing
    /// revisions suffices.
    pub fn can_advance(&self, table: &ClientBlocks) -> bool {
        let known = |delta: &Delta| delta.base_revision == table.revision();
        *table.sites() == self.sites
            && (table.revision() == self.revision || self.deltas.iter().any(known))
    }

    /// Applies the deltas to a table that satisfies [`Manifest::can_advance`].
    ///
    /// # Errors
    ///
    /// Fails if the deltas are not consecutive or invalid.
    pub fn advance(&self, table: &ClientBlocks) -> BlocksResult<ClientBlocks> {
        let newer = |delta: &&Delta| delta.base_revision >= table.revision();
        let deltas = self.deltas.iter().filter(newer).cloned().collect();
        table.apply(&Delta::combine(deltas, table.revision())?)
    }

    /// Builds the table from its chunks, in order, and the deltas.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is missing or invalid.
    pub fn load(&self, chunks: impl IntoIterator<Item = Vec<u8>>) -> BlocksResult<ClientBlocks> {
        let sites = self.sites.clone();
        let mut builder = ClientBlocksBuilder::new(self.base_revision, sites, self.base_blocks);
        let mut values = chunks.into_iter();
        for chunk in &self.chunks {
            let missing = || BlocksError::decode(format!("{} is missing", chunk.key()));
            let value = values.next().ok_or_else(missing)?;
            chunk.check(&value)?;
            builder.add_chunk(&value)?;
        }
        let table = builder.finish();
        if self.deltas.is_empty() {
            return Ok(table);
        }
        self.advance(&table)
    }
}

fn to_site_message(site: &Site) -> SiteMessage {
    SiteMessage {
        site: site.site.to_string(),
        region: site.region.to_string(),
        alternatives: site.alternatives.iter().map(ToString::to_string).collect(),
    }
}

fn to_site(message: SiteMessage) -> BlocksResult<Site> {
    let alternatives = message.alternatives.iter().map(|name| name.parse());
    let alternatives: crate::Result<Vec<_>> = alternatives.collect();
    Ok(Site {
        site: message.site.parse().map_err(BlocksError::decode)?,
        region: message.region.parse().map_err(BlocksError::decode)?,
        alternatives: alternatives.map_err(BlocksError::decode)?,
    })
}

fn to_chunk_message(chunk: &ChunkRef) -> ChunkMessage {
    ChunkMessage {
        checksum: chunk.checksum.0,
        size_bytes: chunk.size_bytes,
    }
}

fn to_chunk_ref(message: ChunkMessage) -> ChunkRef {
    ChunkRef {
        checksum: Checksum(message.checksum),
        size_bytes: message.size_bytes,
    }
}
