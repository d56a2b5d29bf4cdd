//! The error type of client blocks.

use super::SiteIndex;
use crate::ids::SiteId;
use ipnet::IpNet;

/// The result of a fallible operation on client blocks.
pub type BlocksResult<T> = std::result::Result<T, BlocksError>;

/// An error of decoding or changing a table of client blocks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BlocksError {
    /// The checksum of a value does not match.
    #[error("client blocks, read {part}: the checksum does not match")]
    Checksum {
        /// The value that was read.
        part: String,
    },
    /// A value cannot be decoded.
    #[error("client blocks, decode: {problem}")]
    Decode {
        /// The cause.
        problem: String,
    },
    /// A block's prefix is longer than the table supports.
    #[error("client blocks: {block} is longer than /{longest}")]
    TooLong {
        /// The block.
        block: IpNet,
        /// The maximum prefix length.
        longest: u8,
    },
    /// Blocks are not in ascending order, or one occurs twice.
    #[error("client blocks: a block is out of order or given twice")]
    Order,
    /// A block refers to a site that the table does not have.
    #[error("client blocks: there is no site number {site}")]
    UnknownSite {
        /// The site's index.
        site: SiteIndex,
    },
    /// A site is defined twice, or an alternative does not exist.
    #[error("client blocks, sites: `{site}` {problem}")]
    InvalidSite {
        /// The site.
        site: SiteId,
        /// The cause.
        problem: &'static str,
    },
    /// The table has too many sites.
    #[error("client blocks, sites: {count} sites, valid: at most 256")]
    TooManySites {
        /// The number of sites.
        count: usize,
    },
    /// A delta applies to another revision than the table's.
    #[error("client blocks, change: follows revision {base_revision}, the table is at {revision}")]
    Revision {
        /// The revision that the delta applies to.
        base_revision: u64,
        /// The table's revision.
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
