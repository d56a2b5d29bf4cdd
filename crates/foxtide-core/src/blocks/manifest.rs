//! What the store holds of a table.
//!
//! Chunks and deltas lie under the checksum of their bytes, so that a writer
//! never changes a value that a reader may be at; the manifest, written last
//! and by check-and-set, names those that make up the table.

use super::{
    BlockCounts, BlocksError, BlocksResult, ClientBlocks, ClientBlocksBuilder, Delta, SiteTable,
};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// The key of the manifest.
pub const MANIFEST_KEY: &str = "foxtide/blocks/manifest";

/// The beginning of the keys of chunks and deltas; their checksum follows.
pub const PART_PREFIX: &str = "foxtide/blocks/parts/";

/// How many deltas a manifest names before its chunks are written anew.
const DELTAS_MAX: usize = 64;

/// The XXH3 checksum of a value, shown as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Checksum(u64);

impl Checksum {
    /// Returns the checksum of a value.
    pub fn of(value: &[u8]) -> Self {
        Self(xxh3_64(value))
    }
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Checksum {
    type Err = crate::Error;

    fn from_str(text: &str) -> crate::Result<Self> {
        let number = u64::from_str_radix(text, 16);
        let bad = |_| crate::Error::parse(text, "16 hexadecimal digits");
        number.map(Self).map_err(bad)
    }
}

impl TryFrom<String> for Checksum {
    type Error = crate::Error;

    fn try_from(text: String) -> crate::Result<Self> {
        text.parse()
    }
}

impl From<Checksum> for String {
    fn from(checksum: Checksum) -> Self {
        checksum.to_string()
    }
}

/// One value of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Its checksum.
    pub checksum: Checksum,
    /// Its size.
    pub size_bytes: usize,
}

impl Part {
    /// Returns the part that a value makes.
    pub fn of(value: &[u8]) -> Self {
        Self {
            checksum: Checksum::of(value),
            size_bytes: value.len(),
        }
    }

    /// Returns the key under which the value lies.
    pub fn key(&self) -> String {
        format!("{PART_PREFIX}{}", self.checksum)
    }

    /// Checks a value that was read under the key.
    ///
    /// # Errors
    ///
    /// Fails where it is not the value that the manifest names.
    pub fn check(&self, value: &[u8]) -> BlocksResult<()> {
        if Self::of(value) == *self {
            return Ok(());
        }
        Err(BlocksError::Checksum { part: self.key() })
    }
}

/// Names the values that make up a table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The revision after the last delta.
    pub revision: u64,
    /// The revision of the chunks, before any delta.
    pub base_revision: u64,
    /// The blocks in the chunks.
    pub base_blocks: BlockCounts,
    /// The sites, in the order of their numbers.
    pub sites: SiteTable,
    /// The chunks, in order.
    pub chunks: Vec<Part>,
    /// The deltas, in order.
    pub deltas: Vec<Part>,
}

impl Manifest {
    /// Returns the manifest of a whole table and the values to write first.
    pub fn of(table: &ClientBlocks) -> (Self, Vec<Vec<u8>>) {
        let values = table.chunks();
        let manifest = Self {
            revision: table.revision(),
            base_revision: table.revision(),
            base_blocks: table.counts(),
            sites: table.sites().clone(),
            chunks: values.iter().map(|value| Part::of(value)).collect(),
            deltas: Vec::new(),
        };
        (manifest, values)
    }

    /// Adds a delta and returns its value, to be written first.
    ///
    /// # Errors
    ///
    /// Fails where the delta follows another revision or cannot be encoded.
    pub fn add(&mut self, delta: &Delta) -> BlocksResult<Vec<u8>> {
        delta.check_follows(self.revision)?;
        let value = delta.encode()?;
        self.deltas.push(Part::of(&value));
        self.revision = delta.revision;
        Ok(value)
    }

    /// Tells whether so many deltas have gathered that the chunks are to be
    /// written anew.
    pub fn wants_rewrite(&self) -> bool {
        self.deltas.len() >= DELTAS_MAX
    }

    /// Builds the table from the values that the manifest names. `value_of`
    /// returns the value of a part; each is let go before the next.
    ///
    /// # Errors
    ///
    /// Fails where a value is missing or wrong; the caller keeps its old table.
    pub fn load(
        &self,
        mut value_of: impl FnMut(&Part) -> Option<Vec<u8>>,
    ) -> BlocksResult<ClientBlocks> {
        let mut read = |part: &Part| {
            let missing = || BlocksError::decode(format!("{} is missing", part.key()));
            let value = value_of(part).ok_or_else(missing)?;
            part.check(&value)?;
            Ok(value)
        };
        let sites = self.sites.clone();
        let mut builder = ClientBlocksBuilder::new(self.base_revision, sites, self.base_blocks);
        for part in &self.chunks {
            builder.add_chunk(&read(part)?)?;
        }
        let table = builder.finish();
        if self.deltas.is_empty() {
            return Ok(table);
        }
        let mut deltas = Vec::new();
        for part in &self.deltas {
            deltas.push(Delta::decode(&read(part)?)?);
        }
        table.apply(&Delta::combine(deltas, self.base_revision)?)
    }
}
