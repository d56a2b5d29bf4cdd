//! A Poptrie of client blocks, for comparison with [`ClientBlocks`].
//!
//! [`ClientBlocks`]: foxtide_core::blocks::ClientBlocks

use super::tables::{
    Entry,
    LookupTable,
    NO_SITE, //
};
use std::mem::size_of;

/// A compressed trie with a stride of six bits (Asai and Ohara, "Poptrie",
/// SIGCOMM 2015). A bitmap distinguishes children from leaves, equal adjacent
/// leaves are stored once, and indices are found by counting bits.
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
        for (index, entry) in entries.iter().enumerate() {
            let first = slot(entry.start, depth);
            if entry.length > depth + STRIDE {
                begins[first] = begins[first].min(index);
                ends[first] = index + 1;
            } else {
                let width = 1 << (depth + STRIDE - entry.length).min(STRIDE);
                sites[first..(first + width).min(SLOTS)].fill(entry.site as u8);
            }
        }
        let children = (0..SLOTS).filter(|slot| ends[*slot] > 0);
        let children = children.fold(0, |bits, slot| bits | 1 << slot);
        let first_child = self.nodes.len();
        let count = u64::count_ones(children) as usize;
        self.nodes.resize(first_child + count, Node::default());
        self.nodes[node] = self.add_leaves(children, &sites, first_child);
        let child_slots = (0..SLOTS).filter(|slot| ends[*slot] > 0);
        for (child, slot) in (first_child..).zip(child_slots) {
            let child_entries = &entries[begins[slot]..ends[slot]];
            self.fill(child, child_entries, depth + STRIDE, sites[slot]);
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

impl LookupTable for Poptrie {
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
            let mask = u64::MAX >> (SLOTS - 1 - slot);
            if node.children >> slot & 1 == 0 {
                let index = (node.leaf_starts & mask).count_ones() - 1;
                let site = self.leaves[(node.first_leaf + index) as usize];
                return if site == NO_LEAF {
                    NO_SITE
                } else {
                    site.into()
                };
            }
            let index = (node.children & mask).count_ones() - 1;
            node = &self.nodes[(node.first_child + index) as usize];
            depth += STRIDE;
        }
    }

    fn size_bytes(&self, _start_bytes: usize) -> usize {
        self.nodes.len() * size_of::<Node>() + self.leaves.len()
    }
}
