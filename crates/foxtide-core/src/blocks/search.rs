//! Longest-prefix match in sorted, nested prefixes.

use super::family::{
    Prefix,
    truncate, //
};

/// A sorted sequence of prefixes.
pub(super) trait SortedPrefixes {
    fn count(&self) -> usize;

    /// Returns the prefix at an index below the count.
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

/// Returns the index of the longest prefix that contains an address of `bits`
/// bits.
///
/// If the last prefix at or before the address contains it, it is the longest
/// match. Otherwise every match also contains the start of that prefix and is no
/// longer than its common part with the address, from which the search continues.
/// Each iteration shortens the common part, so there are at most `bits` of them.
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
