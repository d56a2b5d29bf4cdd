//! Limits of the idempotency table.

use crate::time::CLOCK_SKEW_MAX;
use crate::units::ByteSize;
use std::time::Duration;

/// The limits of a [`Table`](super::Table).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// The time for which a key may be retried after it was minted. Default: 5 minutes, which
    /// exceeds the longest deadline plus a few retries.
    pub validity: Duration,
    /// The minimum time for which a key may be retried. A full table evicts older keys and
    /// rejects them from then on. Default: 1 minute.
    pub validity_min: Duration,
    /// The maximum lead of a key's time over the clock. Default: [`CLOCK_SKEW_MAX`]. Keys
    /// beyond it are rejected, since they would stay in the table beyond their validity.
    pub clock_skew_max: Duration,
    /// The maximum number of keys, running and ended. Default: 65,536.
    pub keys_max: usize,
    /// The maximum total size of the stored responses; the oldest are dropped first, while
    /// their keys stay. Default: 4 MiB.
    pub answers_max: ByteSize,
    /// The maximum size of a stored response. Default: 64 KiB.
    pub answer_max: ByteSize,
    /// The retry delay for callers whose key is running. Default: 1 s.
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
