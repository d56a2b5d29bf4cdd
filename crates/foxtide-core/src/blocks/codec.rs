//! The encoding of client blocks in the store.
//!
//! A value is a [`ChecksummedMessage`]: a payload and its XXH3 checksum. The payload
//! is a [`ColumnsMessage`], [`DeltaMessage`] or [`ManifestMessage`]. Columns hold
//! blocks in ascending order. Each first address is delta-encoded against the
//! previous one, in units of the block's own size, mostly in a single byte.

use super::columns::Entry;
use super::family::{
    Family,
    Prefix,
    V4, //
};
use super::{
    Block,
    BlocksError,
    BlocksResult,
    SiteIndex, //
};
use crate::store::VALUE_MAX_BYTES;
use ipnet::IpNet;
use prost::Message;
use prost::encoding::encoded_len_varint;
use std::marker::PhantomData;
use xxhash_rust::xxh3::xxh3_64;

/// Space reserved in a value for tags, lengths and the checksum.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// The maximum size of a block: a varint of ten bytes, its length and its site.
const BLOCK_MAX_BYTES: usize = 12;

/// A payload and its checksum.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ChecksummedMessage {
    #[prost(fixed64, tag = "1")]
    checksum: u64,
    #[prost(bytes = "vec", tag = "2")]
    payload: Vec<u8>,
}

/// Blocks of one family in ascending order.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ColumnsMessage {
    /// The number of bits of an address: 32 or 64.
    #[prost(uint32, tag = "1")]
    bits: u32,
    #[prost(uint64, repeated, tag = "2")]
    steps: Vec<u64>,
    #[prost(bytes = "vec", tag = "3")]
    lengths: Vec<u8>,
    /// The site indices; empty for removed blocks.
    #[prost(bytes = "vec", tag = "4")]
    sites: Vec<u8>,
}

/// A change to a table.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DeltaMessage {
    #[prost(uint64, tag = "1")]
    pub(super) follows: u64,
    #[prost(uint64, tag = "2")]
    pub(super) revision: u64,
    #[prost(message, optional, tag = "3")]
    pub(super) set_v4: Option<ColumnsMessage>,
    #[prost(message, optional, tag = "4")]
    pub(super) set_v6: Option<ColumnsMessage>,
    #[prost(message, optional, tag = "5")]
    pub(super) removed_v4: Option<ColumnsMessage>,
    #[prost(message, optional, tag = "6")]
    pub(super) removed_v6: Option<ColumnsMessage>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SiteMessage {
    #[prost(string, tag = "1")]
    pub(super) site: String,
    #[prost(string, tag = "2")]
    pub(super) region: String,
    #[prost(string, repeated, tag = "3")]
    pub(super) alternatives: Vec<String>,
}

/// The expected checksum and size of a chunk.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct ChunkMessage {
    #[prost(fixed64, tag = "1")]
    pub(super) checksum: u64,
    #[prost(uint64, tag = "2")]
    pub(super) size_bytes: u64,
}

/// The chunks, sites and deltas of a table.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ManifestMessage {
    #[prost(uint64, tag = "1")]
    pub(super) revision: u64,
    #[prost(uint64, tag = "2")]
    pub(super) base_revision: u64,
    #[prost(uint64, tag = "3")]
    pub(super) v4_blocks: u64,
    #[prost(uint64, tag = "4")]
    pub(super) v6_blocks: u64,
    #[prost(message, repeated, tag = "5")]
    pub(super) sites: Vec<SiteMessage>,
    #[prost(message, repeated, tag = "6")]
    pub(super) chunks: Vec<ChunkMessage>,
    /// Encoded deltas with their checksums, in order.
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub(super) deltas: Vec<Vec<u8>>,
}

/// Encodes a payload with its checksum.
pub(super) fn with_checksum(payload: Vec<u8>) -> Vec<u8> {
    let checksum = xxh3_64(&payload);
    ChecksummedMessage { checksum, payload }.encode_to_vec()
}

/// Decodes a value and verifies the checksum of its payload.
pub(super) fn verified_payload(value: &[u8], part: &str) -> BlocksResult<Vec<u8>> {
    let message = ChecksummedMessage::decode(value).map_err(BlocksError::decode)?;
    if xxh3_64(&message.payload) != message.checksum {
        let part = part.to_owned();
        return Err(BlocksError::Checksum { part });
    }
    Ok(message.payload)
}

/// Encodes blocks in ascending order as columns.
pub(super) struct ColumnsWriter<F> {
    columns: ColumnsMessage,
    last_start: u64,
    steps_bytes: usize,
    family: PhantomData<F>,
}

impl<F: Family> ColumnsWriter<F> {
    pub(super) fn new() -> Self {
        Self {
            columns: ColumnsMessage {
                bits: F::BITS.into(),
                ..ColumnsMessage::default()
            },
            last_start: 0,
            steps_bytes: 0,
            family: PhantomData,
        }
    }

    /// Appends a block, which must be greater than all others.
    pub(super) fn push(&mut self, prefix: Prefix, site: Option<SiteIndex>) {
        let shift = u32::from(F::BITS - prefix.length);
        let position = |start: u64| start.checked_shr(shift).unwrap_or(0);
        let step = position(prefix.start) - position(self.last_start);
        self.columns.steps.push(step);
        self.columns.lengths.push(prefix.length);
        self.columns.sites.extend(site.map(SiteIndex::get));
        self.steps_bytes += encoded_len_varint(step);
        self.last_start = prefix.start;
    }

    /// Returns whether another block may exceed the maximum size of a value.
    fn is_full(&self) -> bool {
        let blocks_bytes = self.steps_bytes + 2 * self.columns.lengths.len();
        blocks_bytes + BLOCK_MAX_BYTES + CHUNK_OVERHEAD_BYTES > VALUE_MAX_BYTES
    }

    pub(super) fn finish(self) -> ColumnsMessage {
        self.columns
    }
}

impl ColumnsMessage {
    /// Returns an iterator that decodes the prefixes.
    fn prefixes<F: Family>(&self) -> BlocksResult<impl Iterator<Item = BlocksResult<Prefix>>> {
        if self.bits != u32::from(F::BITS) || self.steps.len() != self.lengths.len() {
            return Err(BlocksError::decode(
                "columns are of the other address family or differ in length",
            ));
        }
        let mut last_start = 0;
        let pairs = self.steps.iter().zip(&self.lengths);
        Ok(pairs.map(move |(step, length)| {
            last_start = next_start::<F>(last_start, *step, *length)?;
            Ok(Prefix {
                start: last_start,
                length: *length,
            })
        }))
    }

    /// Returns an iterator that decodes the blocks with their sites.
    pub(super) fn entries<F: Family>(
        &self,
    ) -> BlocksResult<impl Iterator<Item = BlocksResult<Entry>>> {
        if self.lengths.len() != self.sites.len() {
            return Err(BlocksError::decode(
                "columns of blocks and sites differ in length",
            ));
        }
        let pairs = self.prefixes::<F>()?.zip(&self.sites);
        Ok(pairs.map(|(prefix, site)| {
            Ok(Entry {
                prefix: prefix?,
                site: SiteIndex(*site),
            })
        }))
    }

    pub(super) fn blocks<F: Family>(&self) -> BlocksResult<Vec<Block>> {
        let block = |entry: Entry| Block {
            net: F::to_net(entry.prefix),
            site: entry.site,
        };
        self.entries::<F>()?.map(|entry| entry.map(block)).collect()
    }

    pub(super) fn nets<F: Family>(&self) -> BlocksResult<Vec<IpNet>> {
        let prefixes = self.prefixes::<F>()?;
        prefixes.map(|prefix| prefix.map(F::to_net)).collect()
    }

    /// Returns whether the blocks are IPv4.
    pub(super) fn is_v4(&self) -> bool {
        self.bits == u32::from(V4::BITS)
    }
}

/// Returns the first address of the block `step` blocks of `length` bits after `last`.
fn next_start<F: Family>(last: u64, step: u64, length: u8) -> BlocksResult<u64> {
    let out_of_range = || BlocksError::decode("a block is outside of the address space");
    let shift = u32::from(F::BITS.checked_sub(length).ok_or_else(out_of_range)?);
    let position = last.checked_shr(shift).unwrap_or(0);
    let position = position.checked_add(step).ok_or_else(out_of_range)?;
    let blocks = 1u128 << length;
    if u128::from(position) >= blocks {
        return Err(out_of_range());
    }
    Ok(position.checked_shl(shift).unwrap_or(0))
}

/// Encodes blocks as values of at most [`VALUE_MAX_BYTES`].
pub(super) fn encode_chunks<F: Family>(entries: impl Iterator<Item = Entry>) -> Vec<Vec<u8>> {
    let mut chunks = Vec::new();
    let mut writer = ColumnsWriter::<F>::new();
    for entry in entries {
        writer.push(entry.prefix, Some(entry.site));
        if writer.is_full() {
            let full = std::mem::replace(&mut writer, ColumnsWriter::new());
            chunks.push(with_checksum(full.finish().encode_to_vec()));
        }
    }
    let rest = writer.finish();
    if !rest.steps.is_empty() {
        chunks.push(with_checksum(rest.encode_to_vec()));
    }
    chunks
}

pub(super) fn decode_chunk(value: &[u8]) -> BlocksResult<ColumnsMessage> {
    let payload = verified_payload(value, "a chunk")?;
    ColumnsMessage::decode(&payload[..]).map_err(BlocksError::decode)
}
