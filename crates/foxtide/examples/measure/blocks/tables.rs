//! Data structures for client blocks, for comparison with [`ClientBlocks`].
//!
//! All store addresses left-aligned in 64 bits, with one structure for each
//! address family.
//!
//! [`ClientBlocks`]: foxtide_core::blocks::ClientBlocks

use foxtide_core::blocks::Block;
use std::collections::HashMap;
use std::mem::size_of;
use std::net::IpAddr;

/// The result of a look-up if no block contains the address.
pub(crate) const NO_SITE: u16 = u16::MAX;

/// A block with a left-aligned address.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    /// The first address.
    pub(crate) start: u64,
    /// The prefix length.
    pub(crate) length: u8,
    /// The site's number.
    pub(crate) site: u16,
}

/// Returns the blocks of one address family in ascending order.
pub(crate) fn entries(blocks: &[Block], v4: bool) -> Vec<Entry> {
    let of_family = blocks
        .iter()
        .filter(|block| block.net.addr().is_ipv4() == v4);
    let entry = |block: &Block| Entry {
        start: left_aligned(block.net.network()),
        length: block.net.prefix_len(),
        site: block.site.get().into(),
    };
    let mut entries: Vec<Entry> = of_family.map(entry).collect();
    entries.sort_unstable();
    entries
}

/// Returns the first 64 bits of an address, left-aligned.
pub(crate) fn left_aligned(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(address.to_bits()) << 32,
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    }
}

/// A table that finds the site of an address by longest-prefix match.
pub(crate) trait LookupTable {
    /// Builds a table from the entries in ascending order.
    fn build(entries: &[Entry]) -> Self;
    /// Returns the site of the longest block that contains an address.
    fn find(&self, address: u64) -> u16;
    /// Returns the memory that the table would use, in bytes, if each first
    /// address took `start_bytes` and each site one byte.
    fn size_bytes(&self, start_bytes: usize) -> usize;
}

/// Disjoint address ranges, each with its first address and its site.
struct Ranges {
    starts: Vec<u64>,
    sites: Vec<u16>,
}

impl Ranges {
    fn new(entries: &[Entry]) -> Self {
        let mut ranges = Self {
            starts: vec![0],
            sites: vec![NO_SITE],
        };
        let mut enclosing: Vec<(u64, u16)> = Vec::new();
        for entry in entries {
            ranges.close(&mut enclosing, entry.start);
            let host_bits = u64::MAX.checked_shr(entry.length.into()).unwrap_or(0);
            enclosing.push((entry.start | host_bits, entry.site));
            ranges.add(entry.start, entry.site);
        }
        ranges.close(&mut enclosing, u64::MAX);
        ranges
    }

    /// Closes the enclosing blocks that end before an address.
    fn close(&mut self, enclosing: &mut Vec<(u64, u16)>, before: u64) {
        while let Some((end, _)) = enclosing.last().copied().filter(|(end, _)| *end < before) {
            enclosing.pop();
            let site = enclosing.last().map_or(NO_SITE, |(_, site)| *site);
            self.add(end + 1, site);
        }
    }

    fn add(&mut self, start: u64, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last() != Some(&site) {
            self.starts.push(start);
            self.sites.push(site);
        }
    }
}

/// Ranges in ascending order, for binary search.
pub(crate) struct SortedRanges(Ranges);

impl LookupTable for SortedRanges {
    fn build(entries: &[Entry]) -> Self {
        Self(Ranges::new(entries))
    }

    fn find(&self, address: u64) -> u16 {
        let after = self.0.starts.partition_point(|start| *start <= address);
        self.0.sites[after - 1]
    }

    fn size_bytes(&self, start_bytes: usize) -> usize {
        self.0.starts.len() * (start_bytes + 1)
    }
}

/// Ranges in the Eytzinger layout, the breadth-first order of a search tree,
/// whose first levels share cache lines.
pub(crate) struct EytzingerRanges {
    starts: Vec<u64>,
    sites: Vec<u16>,
}

impl EytzingerRanges {
    fn fill(&mut self, ranges: &Ranges, next: &mut usize, index: usize) {
        if index >= self.starts.len() {
            return;
        }
        self.fill(ranges, next, 2 * index);
        self.starts[index] = ranges.starts[*next];
        self.sites[index] = ranges.sites[*next];
        *next += 1;
        self.fill(ranges, next, 2 * index + 1);
    }
}

impl LookupTable for EytzingerRanges {
    fn build(entries: &[Entry]) -> Self {
        let ranges = Ranges::new(entries);
        let count = ranges.starts.len() + 1;
        let mut table = Self {
            starts: vec![0; count],
            sites: vec![NO_SITE; count],
        };
        table.fill(&ranges, &mut 0, 1);
        table
    }

    fn find(&self, address: u64) -> u16 {
        let mut best = 0;
        let mut index = 1;
        while index < self.starts.len() {
            let right = self.starts[index] <= address;
            best = if right { index } else { best };
            index = 2 * index + usize::from(right);
        }
        self.sites[best]
    }

    fn size_bytes(&self, start_bytes: usize) -> usize {
        self.starts.len() * (start_bytes + 1)
    }
}

/// A hash map for each prefix length, the longest first.
pub(crate) struct HashMaps(Vec<(u8, HashMap<u64, u16>)>);

impl LookupTable for HashMaps {
    fn build(entries: &[Entry]) -> Self {
        let mut maps: Vec<(u8, HashMap<u64, u16>)> = (0..=64)
            .rev()
            .map(|length| (length, HashMap::new()))
            .collect();
        for entry in entries {
            let index = usize::from(64 - entry.length);
            maps[index].1.insert(entry.start, entry.site);
        }
        maps.retain(|(_, map)| !map.is_empty());
        Self(maps)
    }

    fn find(&self, address: u64) -> u16 {
        for (length, map) in &self.0 {
            let host_bits = u64::MAX.checked_shr((*length).into()).unwrap_or(0);
            if let Some(site) = map.get(&(address & !host_bits)) {
                return *site;
            }
        }
        NO_SITE
    }

    /// Counts a control byte and a padded pair for each slot.
    fn size_bytes(&self, start_bytes: usize) -> usize {
        let slots = self.0.iter().map(|(_, map)| map.capacity() * 8 / 7);
        slots.sum::<usize>() * (2 * start_bytes + 1)
    }
}

/// All blocks in a list that is searched linearly.
pub(crate) struct LinearScan(Vec<Entry>);

impl LookupTable for LinearScan {
    fn build(entries: &[Entry]) -> Self {
        Self(entries.to_vec())
    }

    fn find(&self, address: u64) -> u16 {
        let contains = |entry: &&Entry| {
            let host_bits = u64::MAX.checked_shr(entry.length.into()).unwrap_or(0);
            address & !host_bits == entry.start
        };
        let containing = self.0.iter().filter(contains);
        let longest = containing.max_by_key(|entry| entry.length);
        longest.map_or(NO_SITE, |entry| entry.site)
    }

    /// Includes one byte for the prefix length of each block.
    fn size_bytes(&self, start_bytes: usize) -> usize {
        self.0.len() * (start_bytes + 2)
    }
}

/// A table for each address family.
pub(crate) struct DualStack<T> {
    v4: T,
    v6: T,
}

impl<T: LookupTable> DualStack<T> {
    pub(crate) fn build(blocks: &[Block]) -> Self {
        Self {
            v4: T::build(&entries(blocks, true)),
            v6: T::build(&entries(blocks, false)),
        }
    }

    /// Returns the site of the longest block that contains a client.
    pub(crate) fn find(&self, client: IpAddr) -> u16 {
        let table = if client.is_ipv4() { &self.v4 } else { &self.v6 };
        table.find(left_aligned(client))
    }

    /// Returns the memory that both tables would use, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        self.v4.size_bytes(size_of::<u32>()) + self.v6.size_bytes(size_of::<u64>())
    }
}
