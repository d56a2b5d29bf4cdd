//! Parity over a group of peers, as an alternative to copies of events.
//!
//! The ring of each member is a block. One peer holds the exclusive or of all blocks,
//! updated by change masks (Stonebraker, "Distributed RAID", UCB/ERL M89/56, section
//! 3.2). Used for comparison only.

pub(crate) const BLOCK_BYTES: usize = 128 << 10;

/// Header of a change mask: block, offset, length and unique identifier.
pub(crate) const MASK_OVERHEAD_BYTES: u64 = 28;

/// The blocks of a group of members and their parity.
pub(crate) struct ParityGroup {
    blocks: Vec<Vec<u8>>,
    /// The offset of the next record of each member.
    write_offsets: Vec<usize>,
    parity: Vec<u8>,
}

impl ParityGroup {
    pub(crate) fn new(members: usize) -> Self {
        Self {
            blocks: vec![vec![0; BLOCK_BYTES]; members],
            write_offsets: vec![0; members],
            parity: vec![0; BLOCK_BYTES],
        }
    }

    /// Appends a record to a member's block, overwriting the oldest if it is full;
    /// returns the size of the change mask to send to the holder of the parity.
    pub(crate) fn append(&mut self, member: usize, record: &[u8]) -> u64 {
        let start = self.write_offsets[member];
        for (offset, new) in record.iter().enumerate() {
            let position = (start + offset) % BLOCK_BYTES;
            let mask = self.blocks[member][position] ^ new;
            self.blocks[member][position] = *new;
            self.parity[position] ^= mask;
        }
        self.write_offsets[member] = (start + record.len()) % BLOCK_BYTES;
        record.len() as u64
    }

    pub(crate) fn block(&self, member: usize) -> &[u8] {
        &self.blocks[member]
    }

    /// Recomputes a lost block from the parity and all other blocks.
    pub(crate) fn reconstruct(&self, lost: usize) -> Vec<u8> {
        let mut block = self.parity.clone();
        let others = self.blocks.iter().enumerate();
        for (_, other) in others.filter(|(member, _)| *member != lost) {
            for (byte, other_byte) in block.iter_mut().zip(other) {
                *byte ^= other_byte;
            }
        }
        block
    }
}
