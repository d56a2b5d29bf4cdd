//! The in-memory table of the blocks of one address family.
//!
//! Blocks longer than half of the family's bits are grouped into buckets by the
//! first half of their address. Only the second half is stored per block, in
//! columns: 4 bytes per IPv4 block and 6 per IPv6 block. The few wider blocks are
//! stored separately and searched only if no narrower block matches.

use super::family::{
    Family,
    Prefix, //
};
use super::search::{
    SortedPrefixes,
    longest_match, //
};
use super::{
    BlocksError,
    BlocksResult,
    SiteIndex, //
};
use std::mem::size_of;

/// A block and its site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) prefix: Prefix,
    pub(super) site: SiteIndex,
}

/// The table of one family.
#[derive(Clone, Debug)]
pub(super) struct Columns<F: Family> {
    /// Blocks of at most half of the bits.
    wide: Vec<Entry>,
    /// The first halves of addresses that have longer blocks, ascending.
    buckets: Vec<F::Half>,
    /// The offset of each bucket in the columns, followed by their length.
    offsets: Vec<u32>,
    /// The second halves of the first addresses of longer blocks.
    starts: Vec<F::Half>,
    /// The prefix lengths within the second half.
    lengths: Vec<u8>,
    sites: Vec<SiteIndex>,
    last: Option<Prefix>,
}

impl<F: Family> Default for Columns<F> {
    fn default() -> Self {
        Self {
            wide: Vec::new(),
            buckets: Vec::new(),
            offsets: vec![0],
            starts: Vec::new(),
            lengths: Vec::new(),
            sites: Vec::new(),
            last: None,
        }
    }
}

/// The blocks of one bucket.
struct Bucket<'a, F: Family> {
    starts: &'a [F::Half],
    lengths: &'a [u8],
}

impl<F: Family> SortedPrefixes for Bucket<'_, F> {
    fn count(&self) -> usize {
        self.starts.len()
    }

    fn prefix(&self, index: usize) -> Prefix {
        Prefix {
            start: self.starts[index].into(),
            length: self.lengths[index],
        }
    }
}

impl SortedPrefixes for Vec<Entry> {
    fn count(&self) -> usize {
        self.len()
    }

    fn prefix(&self, index: usize) -> Prefix {
        self[index].prefix
    }
}

impl<F: Family> Columns<F> {
    const HALF_BITS: u8 = F::BITS / 2;

    /// Creates an empty table with capacity for `blocks` blocks.
    pub(super) fn with_capacity(blocks: usize) -> Self {
        Self {
            starts: Vec::with_capacity(blocks),
            lengths: Vec::with_capacity(blocks),
            sites: Vec::with_capacity(blocks),
            ..Self::default()
        }
    }

    /// Appends a block, which must be greater than all others.
    pub(super) fn push(&mut self, entry: Entry) -> BlocksResult<()> {
        if self.last.is_some_and(|last| last >= entry.prefix) {
            return Err(BlocksError::Order);
        }
        self.last = Some(entry.prefix);
        match entry.prefix.length.checked_sub(Self::HALF_BITS) {
            None | Some(0) => self.wide.push(entry),
            Some(length) => self.push_narrow(entry, length)?,
        }
        Ok(())
    }

    fn push_narrow(&mut self, entry: Entry, length: u8) -> BlocksResult<()> {
        let (bucket, start) = Self::split(entry.prefix.start)?;
        if self.buckets.last() != Some(&bucket) {
            self.buckets.push(bucket);
            self.offsets.push(0);
        }
        self.starts.push(start);
        self.lengths.push(length);
        self.sites.push(entry.site);
        let end = u32::try_from(self.starts.len());
        let end = end.map_err(|_| BlocksError::decode("more than 2^32 blocks"))?;
        if let Some(last) = self.offsets.last_mut() {
            *last = end;
        }
        Ok(())
    }

    pub(super) fn shrink(&mut self) {
        self.wide.shrink_to_fit();
        self.buckets.shrink_to_fit();
        self.offsets.shrink_to_fit();
        self.starts.shrink_to_fit();
        self.lengths.shrink_to_fit();
        self.sites.shrink_to_fit();
    }

    /// Returns the site of the longest block that contains an address.
    pub(super) fn find(&self, address: u64) -> Option<SiteIndex> {
        let narrow = self.find_narrow(address);
        narrow.or_else(|| self.find_wide(address))
    }

    fn find_narrow(&self, address: u64) -> Option<SiteIndex> {
        let (bucket, rest) = Self::split(address).ok()?;
        let bucket_index = self.buckets.binary_search(&bucket).ok()?;
        let begin = self.offsets[bucket_index] as usize;
        let end = self.offsets[bucket_index + 1] as usize;
        let blocks: Bucket<'_, F> = Bucket {
            starts: &self.starts[begin..end],
            lengths: &self.lengths[begin..end],
        };
        let index = longest_match(&blocks, rest.into(), Self::HALF_BITS)?;
        Some(self.sites[begin + index])
    }

    fn find_wide(&self, address: u64) -> Option<SiteIndex> {
        let index = longest_match(&self.wide, address, F::BITS)?;
        Some(self.wide[index].site)
    }

    fn split(address: u64) -> BlocksResult<(F::Half, F::Half)> {
        let mask = (1 << Self::HALF_BITS) - 1;
        let first = F::Half::try_from(address >> Self::HALF_BITS);
        let second = F::Half::try_from(address & mask);
        match (first, second) {
            (Ok(first), Ok(second)) => Ok((first, second)),
            _ => Err(BlocksError::decode("an address has too many bits")),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.wide.len() + self.starts.len()
    }

    /// Returns the allocated memory in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        let halves = self.buckets.capacity() + self.starts.capacity();
        self.wide.capacity() * size_of::<Entry>()
            + halves * size_of::<F::Half>()
            + self.offsets.capacity() * size_of::<u32>()
            + self.lengths.capacity()
            + self.sites.capacity() * size_of::<SiteIndex>()
    }

    /// Returns all blocks in ascending order.
    pub(super) fn entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let mut wide = self.wide.iter().copied().peekable();
        let mut narrow = self.narrow_entries().peekable();
        std::iter::from_fn(move || match (wide.peek(), narrow.peek()) {
            (Some(first), Some(second)) if first.prefix < second.prefix => wide.next(),
            (Some(_), None) => wide.next(),
            _ => narrow.next(),
        })
    }

    fn narrow_entries(&self) -> impl Iterator<Item = Entry> + '_ {
        let buckets = self.buckets.iter().enumerate();
        buckets.flat_map(move |(bucket_index, bucket)| {
            let first: u64 = (*bucket).into();
            let indices =
                self.offsets[bucket_index] as usize..self.offsets[bucket_index + 1] as usize;
            indices.map(move |index| self.narrow_entry(first, index))
        })
    }

    fn narrow_entry(&self, bucket: u64, index: usize) -> Entry {
        let rest: u64 = self.starts[index].into();
        Entry {
            prefix: Prefix {
                start: bucket << Self::HALF_BITS | rest,
                length: Self::HALF_BITS + self.lengths[index],
            },
            site: self.sites[index],
        }
    }
}
