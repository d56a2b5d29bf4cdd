//! What can be wrong with a table of client blocks.

use super::SiteIndex;
use crate::ids::SiteId;
use ipnet::IpNet;

/// The result of reading or changing a table.
pub type BlocksResult<T> = std::result::Result<T, BlocksError>;

/// Why a table, a chunk or a delta cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlocksError {
    /// The bytes are not those that were written.
    #[error("client blocks, read {part}: the checksum does not match")]
    Checksum {
        /// What was read.
        part: String,
    },
    /// The bytes cannot be decoded.
    #[error("client blocks, decode: {problem}")]
    Decode {
        /// What is wrong.
        problem: String,
    },
    /// A block is longer than a look-up can tell apart.
    #[error("client blocks: {block} is longer than /{longest}")]
    TooLong {
        /// The block.
        block: IpNet,
        /// The longest prefix that is valid.
        longest: u8,
    },
    /// Blocks do not come in ascending order, or one comes twice.
    #[error("client blocks: a block is out of order or given twice")]
    Order,
    /// A block names a site that the table does not have.
    #[error("client blocks: there is no site number {site}")]
    UnknownSite {
        /// The site's number.
        site: SiteIndex,
    },
    /// A site is named twice, or an alternative does not exist.
    #[error("client blocks, sites: `{site}` {problem}")]
    BadSite {
        /// The site.
        site: SiteId,
        /// What is wrong with it.
        problem: &'static str,
    },
    /// There are more sites than a table can number.
    #[error("client blocks, sites: {count} sites, valid: at most 256")]
    TooManySites {
        /// How many there are.
        count: usize,
    },
    /// A delta follows another revision than the table's.
    #[error("client blocks, change: follows revision {base_revision}, the table is at {revision}")]
    Revision {
        /// The revision that the delta changes.
        base_revision: u64,
        /// The revision that the table has.
        revision: u64,
    },
}

impl BlocksError {
    pub(super) fn decode(problem: impl ToString) -> Self {
        Self::Decode {
            problem: problem.to_string(),
        }
    }
}
