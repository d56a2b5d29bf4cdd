//! How much a table keeps, and for how long.

use crate::time::CLOCK_SKEW_MAX;
use crate::units::ByteSize;
use std::time::Duration;

/// The bounds of a [`Table`](super::Table).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// How long after it was minted a key may be retried. Default: 5 minutes,
    /// above the longest deadline and a caller's few retries.
    pub validity: Duration,
    /// How long a key may be retried at least, where the table is full: keys
    /// older than this make room for new ones, and are refused from then on.
    /// Default: 1 minute, in which 65,536 keys last for 1,092 requests/s.
    pub validity_min: Duration,
    /// How far in the future a key's time may lie. Default:
    /// [`CLOCK_SKEW_MAX`]. A caller whose clock is further ahead is refused,
    /// for its keys would stay in the table beyond their validity.
    pub clock_skew_max: Duration,
    /// The most keys that are kept, running and ended. Default: 65,536; at
    /// about 80 bytes a key (measured) that is 5.2 MB.
    pub keys_max: usize,
    /// The most that the kept answers take together; the oldest are dropped
    /// first, their keys stay. Default: 4 MiB.
    pub answers_max: ByteSize,
    /// The largest answer that is kept. Default: 64 KiB.
    pub answer_max: ByteSize,
    /// When a caller whose key is running is told to ask again. Default: 1 s.
    pub in_progress_retry: Duration,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(300),
            validity_min: Duration::from_secs(60),
            clock_skew_max: CLOCK_SKEW_MAX,
            keys_max: 65_536,
            answers_max: ByteSize::from_kib(4 * 1_024),
            answer_max: ByteSize::from_kib(64),
            in_progress_retry: Duration::from_secs(1),
        }
    }
}
