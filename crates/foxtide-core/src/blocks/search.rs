//! Longest-prefix match in sorted, nested prefixes.

use super::family::{
    Prefix,
    truncate, //
};

/// SortedPrefixes prefixes of `BITS`-bit numbers.
pub(super) trait SortedPrefixes {
    fn count(&self) -> usize;

    /// Returns the prefix at a index below the count.
    fn prefix(&self, index: usize) -> Prefix;

    /// Returns how many of the first `end` prefixes are at most `key`.
    fn rank(&self, key: Prefix, end: usize) -> usize {
        let mut low = 0;
        let mut high = end;
        while low < high {
            let middle = low + (high - low) / 2;
            if self.prefix(middle) <= key {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }
}

/// Returns the index of the longest prefix that holds an address of `bits`
/// bits.
///
/// The last prefix at or before the address is the longest one that holds it,
/// if it holds it at all. If not, every prefix that does also holds the first
/// address of that one, and so is at most as long as what the two have in
/// common: the search goes on from there. Each round shortens the common
/// part, so there are at most `bits` rounds; with real blocks one or two.
pub(super) fn longest_match(sorted: &impl SortedPrefixes, address: u64, bits: u8) -> Option<usize> {
    let mut key = Prefix {
        start: address,
        length: bits,
    };
    let mut end = sorted.count();
    loop {
        end = sorted.rank(key, end);
        let index = end.checked_sub(1)?;
        let found = sorted.prefix(index);
        let common = common_bits(found.start, address, bits);
        if common >= found.length {
            return Some(index);
        }
        key = Prefix {
            start: truncate(address, common, bits),
            length: common,
        };
    }
}

/// Returns the length of the common prefix of two `bits`-bit numbers.
fn common_bits(one: u64, other: u64, bits: u8) -> u8 {
    let unused = u64::BITS - u32::from(bits);
    let same = (one ^ other).leading_zeros().saturating_sub(unused);
    u8::try_from(same).unwrap_or(bits).min(bits)
}
