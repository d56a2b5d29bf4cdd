//! Validates message headers: cluster, version and replays.

use crate::traffic::Rejection;
use crate::wire::Header;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The protocol version of the messages that this program sends.
pub(crate) const VERSION: u32 = 1;

/// The oldest protocol version whose programs can read these messages.
///
/// A field that older programs may skip raises [`VERSION`] alone; an
/// incompatible change raises this too, one release later.
pub(crate) const MINIMUM_VERSION: u32 = 1;

/// Packets behind the highest sequence number that are still accepted.
const REPLAY_WINDOW_PACKETS: u64 = 64;

/// Returns the hash of a cluster's name that each header carries.
pub(crate) fn cluster_id(cluster: &str) -> u64 {
    xxh3_64(cluster.as_bytes())
}

/// The anti-replay window of one process of a peer (RFC 4303, section 3.4.3).
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    epoch_us: u64,
    highest: u64,
    /// Bit `n` is set once packet `highest - n` has arrived.
    bitmap: u64,
}

impl ReplayWindow {
    /// Records a packet; returns whether it is new.
    fn accept(&mut self, epoch_us: u64, sequence: u64) -> bool {
        if epoch_us < self.epoch_us {
            return false;
        }
        if epoch_us > self.epoch_us {
            *self = Self {
                epoch_us,
                ..Self::default()
            };
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.bitmap = if ahead < REPLAY_WINDOW_PACKETS {
                self.bitmap << ahead
            } else {
                0
            };
            self.bitmap |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let fresh = behind < REPLAY_WINDOW_PACKETS && self.bitmap & (1 << behind) == 0;
        if fresh {
            self.bitmap |= 1 << behind;
        }
        fresh
    }
}

/// Validates the headers of received messages.
#[derive(Debug)]
pub(crate) struct HeaderValidator {
    cluster: u64,
    windows: HashMap<String, ReplayWindow>,
}

impl HeaderValidator {
    /// Returns a validator that accepts messages of `cluster` only.
    pub(crate) fn new(cluster: u64) -> Self {
        Self {
            cluster,
            windows: HashMap::new(),
        }
    }

    /// Checks the cluster and version of a message.
    pub(crate) fn check(&self, header: &Header) -> Result<(), Rejection> {
        if header.cluster != self.cluster {
            return Err(Rejection::ForeignCluster);
        }
        if header.minimum_version > VERSION {
            return Err(Rejection::FutureVersion);
        }
        Ok(())
    }

    /// Checks a datagram, and that it is no replay.
    pub(crate) fn check_once(&mut self, header: &Header) -> Result<(), Rejection> {
        self.check(header)?;
        let window = self.windows.entry(header.sender.clone()).or_default();
        if window.accept(header.epoch_us, header.sequence) {
            Ok(())
        } else {
            Err(Rejection::Replayed)
        }
    }

    /// Returns the number of senders with a replay window.
    pub(crate) fn sender_count(&self) -> usize {
        self.windows.len()
    }

    /// Removes the replay windows of senders for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.windows.retain(|sender, _| keep(sender));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn header(epoch_us: u64, sequence: u64) -> Header {
        Header {
            version: VERSION,
            minimum_version: MINIMUM_VERSION,
            cluster: 7,
            sender: String::from("a"),
            epoch_us,
            sequence,
            ..Header::default()
        }
    }

    #[test]
    fn verify_each_packet_counts_once() {
        let mut validator = HeaderValidator::new(7);
        for sequence in [1, 3, 2, 70, 69] {
            assert_eq!(validator.check_once(&header(5, sequence)), Ok(()));
        }
        for sequence in [1, 2, 3, 69, 70] {
            let again = validator.check_once(&header(5, sequence));
            assert_eq!(again, Err(Rejection::Replayed), "{sequence}");
        }
    }

    #[test]
    fn verify_packets_of_an_earlier_process_are_replays() {
        let mut validator = HeaderValidator::new(7);
        assert_eq!(validator.check_once(&header(5, 9)), Ok(()));
        assert_eq!(validator.check_once(&header(6, 1)), Ok(()));
        let old = validator.check_once(&header(5, 10));
        assert_eq!(old, Err(Rejection::Replayed));
    }

    #[test]
    fn verify_newer_programs_that_can_be_read_are_accepted() {
        let mut validator = HeaderValidator::new(7);
        let mut newer = header(5, 1);
        newer.version = VERSION + 3;
        assert_eq!(validator.check_once(&newer), Ok(()));
        newer.minimum_version = VERSION + 1;
        assert_eq!(validator.check_once(&newer), Err(Rejection::FutureVersion));
    }
}
