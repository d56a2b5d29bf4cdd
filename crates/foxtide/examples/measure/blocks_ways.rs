//! Other ways to keep client blocks, measured beside the one in use.
//!
//! All keep addresses left-aligned in 64 bits, one structure a family.

use foxtide_core::blocks::Block;
use std::collections::HashMap;
use std::mem::size_of;
use std::net::IpAddr;

/// The site's number where no block holds an address.
pub(crate) const NO_SITE: u16 = u16::MAX;

/// A block, left-aligned.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Entry {
    start: u64,
    length: u8,
    site: u16,
}

/// Returns the blocks of one family, ascending.
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

/// Returns an address's first 64 bits.
pub(crate) fn left_aligned(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(address.to_bits()) << 32,
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    }
}

/// One way to find the site of an address.
pub(crate) trait Way {
    /// Builds it.
    fn build(entries: &[Entry]) -> Self;
    /// Returns the site of the longest block that holds an address.
    fn find(&self, address: u64) -> u16;
    /// Returns the memory in use, in bytes, were a first address packed into
    /// `start_bytes` and a site into one byte.
    fn size_bytes(&self, start_bytes: usize) -> usize;
}

/// Each address range between two borders of blocks, by its first address.
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
        let mut open: Vec<(u64, u16)> = Vec::new();
        for entry in entries {
            ranges.close(&mut open, entry.start);
            let host = u64::MAX.checked_shr(entry.length.into()).unwrap_or(0);
            open.push((entry.start | host, entry.site));
            ranges.add(entry.start, entry.site);
        }
        ranges.close(&mut open, u64::MAX);
        ranges
    }

    /// Ends the blocks that lie wholly before an address.
    fn close(&mut self, open: &mut Vec<(u64, u16)>, before: u64) {
        while let Some((end, _)) = open.last().copied().filter(|(end, _)| *end < before) {
            open.pop();
            let around = open.last().map_or(NO_SITE, |(_, site)| *site);
            self.add(end + 1, around);
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

/// Ranges in ascending order, by binary search.
pub(crate) struct SortedRanges(Ranges);

impl Way for SortedRanges {
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

/// Ranges in the order of a breadth-first search tree (Eytzinger), whose first
/// levels share cache lines.
pub(crate) struct EytzingerRanges {
    starts: Vec<u64>,
    sites: Vec<u16>,
}

impl EytzingerRanges {
    fn fill(&mut self, ranges: &Ranges, next: &mut usize, place: usize) {
        if place >= self.starts.len() {
            return;
        }
        self.fill(ranges, next, 2 * place);
        self.starts[place] = ranges.starts[*next];
        self.sites[place] = ranges.sites[*next];
        *next += 1;
        self.fill(ranges, next, 2 * place + 1);
    }
}

impl Way for EytzingerRanges {
    fn build(entries: &[Entry]) -> Self {
        let ranges = Ranges::new(entries);
        let count = ranges.starts.len() + 1;
        let mut way = Self {
            starts: vec![0; count],
            sites: vec![NO_SITE; count],
        };
        way.fill(&ranges, &mut 0, 1);
        way
    }

    fn find(&self, address: u64) -> u16 {
        let mut best = 0;
        let mut place = 1;
        while place < self.starts.len() {
            let right = self.starts[place] <= address;
            best = if right { place } else { best };
            place = 2 * place + usize::from(right);
        }
        self.sites[best]
    }

    fn size_bytes(&self, start_bytes: usize) -> usize {
        self.starts.len() * (start_bytes + 1)
    }
}

/// A table for each length, from the longest on.
pub(crate) struct HashMaps(Vec<(u8, HashMap<u64, u16>)>);

impl Way for HashMaps {
    fn build(entries: &[Entry]) -> Self {
        let mut maps: Vec<(u8, HashMap<u64, u16>)> = (0..=64)
            .rev()
            .map(|length| (length, HashMap::new()))
            .collect();
        for entry in entries {
            let place = usize::from(64 - entry.length);
            maps[place].1.insert(entry.start, entry.site);
        }
        maps.retain(|(_, map)| !map.is_empty());
        Self(maps)
    }

    fn find(&self, address: u64) -> u16 {
        for (length, map) in &self.0 {
            let host = u64::MAX.checked_shr((*length).into()).unwrap_or(0);
            if let Some(site) = map.get(&(address & !host)) {
                return *site;
            }
        }
        NO_SITE
    }

    /// Counts a control byte and a padded pair for each place.
    fn size_bytes(&self, start_bytes: usize) -> usize {
        let places = self.0.iter().map(|(_, map)| map.capacity() * 8 / 7);
        places.sum::<usize>() * (2 * start_bytes + 1)
    }
}

/// All blocks, one after the other.
pub(crate) struct Linear(Vec<Entry>);

impl Way for Linear {
    fn build(entries: &[Entry]) -> Self {
        Self(entries.to_vec())
    }

    fn find(&self, address: u64) -> u16 {
        let holds = |entry: &&Entry| {
            let host = u64::MAX.checked_shr(entry.length.into()).unwrap_or(0);
            address & !host == entry.start
        };
        let holding = self.0.iter().filter(holds);
        let longest = holding.max_by_key(|entry| entry.length);
        longest.map_or(NO_SITE, |entry| entry.site)
    }

    /// Counts a byte for the length.
    fn size_bytes(&self, start_bytes: usize) -> usize {
        self.0.len() * (start_bytes + 2)
    }
}

/// A compressed trie of six bits a level (Asai and Ohara, "Poptrie", SIGCOMM
/// 2015): a bit map tells children from leaves, equal neighbouring leaves are
/// kept once, and places are found by counting bits.
#[derive(Default)]
pub(crate) struct Poptrie {
    nodes: Vec<Node>,
    leaves: Vec<u8>,
}

#[derive(Clone, Copy, Default)]
struct Node {
    children: u64,
    leaf_starts: u64,
    first_child: u32,
    first_leaf: u32,
}

const STRIDE: u8 = 6;
const SLOTS: usize = 1 << STRIDE;
const NO_LEAF: u8 = u8::MAX;

fn slot(address: u64, depth: u8) -> usize {
    (address << depth >> (64 - STRIDE)) as usize
}

impl Poptrie {
    fn fill(&mut self, node: usize, entries: &[Entry], depth: u8, inherited: u8) {
        let mut sites = [inherited; SLOTS];
        let mut begins = [usize::MAX; SLOTS];
        let mut ends = [0; SLOTS];
        for (place, entry) in entries.iter().enumerate() {
            let first = slot(entry.start, depth);
            if entry.length > depth + STRIDE {
                begins[first] = begins[first].min(place);
                ends[first] = place + 1;
            } else {
                let wide = 1 << (depth + STRIDE - entry.length).min(STRIDE);
                sites[first..(first + wide).min(SLOTS)].fill(entry.site as u8);
            }
        }
        let children = (0..SLOTS).filter(|slot| ends[*slot] > 0);
        let children = children.fold(0, |bits, slot| bits | 1 << slot);
        let first_child = self.nodes.len();
        let count = u64::count_ones(children) as usize;
        self.nodes.resize(first_child + count, Node::default());
        self.nodes[node] = self.add_leaves(children, &sites, first_child);
        let with_child = (0..SLOTS).filter(|slot| ends[*slot] > 0);
        for (child, slot) in (first_child..).zip(with_child) {
            let inside = &entries[begins[slot]..ends[slot]];
            self.fill(child, inside, depth + STRIDE, sites[slot]);
        }
    }

    fn add_leaves(&mut self, children: u64, sites: &[u8; SLOTS], first_child: usize) -> Node {
        let mut node = Node {
            children,
            leaf_starts: 0,
            first_child: first_child as u32,
            first_leaf: self.leaves.len() as u32,
        };
        let mut last = None;
        for (slot, site) in sites.iter().enumerate() {
            if children >> slot & 1 == 0 && last != Some(*site) {
                node.leaf_starts |= 1 << slot;
                self.leaves.push(*site);
                last = Some(*site);
            }
        }
        node
    }
}

impl Way for Poptrie {
    fn build(entries: &[Entry]) -> Self {
        let mut trie = Self::default();
        trie.nodes.push(Node::default());
        trie.fill(0, entries, 0, NO_LEAF);
        trie
    }

    fn find(&self, address: u64) -> u16 {
        let mut node = &self.nodes[0];
        let mut depth = 0;
        loop {
            let slot = slot(address, depth);
            let up_to = u64::MAX >> (SLOTS - 1 - slot);
            if node.children >> slot & 1 == 0 {
                let place = (node.leaf_starts & up_to).count_ones() - 1;
                let site = self.leaves[(node.first_leaf + place) as usize];
                return if site == NO_LEAF {
                    NO_SITE
                } else {
                    site.into()
                };
            }
            let place = (node.children & up_to).count_ones() - 1;
            node = &self.nodes[(node.first_child + place) as usize];
            depth += STRIDE;
        }
    }

    fn size_bytes(&self, _start_bytes: usize) -> usize {
        self.nodes.len() * size_of::<Node>() + self.leaves.len()
    }
}

/// Both families kept the same way.
pub(crate) struct Both<W> {
    v4: W,
    v6: W,
}

impl<W: Way> Both<W> {
    /// Builds both.
    pub(crate) fn build(blocks: &[Block]) -> Self {
        Self {
            v4: W::build(&entries(blocks, true)),
            v6: W::build(&entries(blocks, false)),
        }
    }

    /// Returns the site of the longest block that holds a client.
    pub(crate) fn find(&self, client: IpAddr) -> u16 {
        let way = if client.is_ipv4() { &self.v4 } else { &self.v6 };
        way.find(left_aligned(client))
    }

    /// Returns the memory in use, in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        self.v4.size_bytes(size_of::<u32>()) + self.v6.size_bytes(size_of::<u64>())
    }
}
