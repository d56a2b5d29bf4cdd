//! Which messages are taken in: those of the own fleet, of a version that can
//! be read, and each only once.

use crate::traffic::Rejection;
use crate::wire::Header;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The version of the messages that this program writes.
pub(crate) const VERSION: u32 = 1;

/// The oldest program that can read what this program writes.
///
/// A field that older programs may skip raises [`VERSION`] alone; a change
/// that they would misread raises this too, one release later.
pub(crate) const MINIMUM_VERSION: u32 = 1;

/// Packets that may overtake one another.
const REPLAY_WINDOW_PACKETS: u64 = 64;

/// Returns the number that stands for a fleet's name in each message.
pub(crate) fn cluster_id(cluster: &str) -> u64 {
    xxh3_64(cluster.as_bytes())
}

/// The packets seen of one process of a peer (as RFC 4303, section 3.4.3).
#[derive(Clone, Copy, Debug, Default)]
struct ReplayWindow {
    epoch_us: u64,
    highest: u64,
    /// Bit `n` stands for the packet `n` before the highest.
    bitmap: u64,
}

impl ReplayWindow {
    /// Returns whether a packet is new, and notes it.
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

/// Decides which messages are taken in.
#[derive(Debug)]
pub(crate) struct HeaderValidator {
    cluster: u64,
    windows: HashMap<String, ReplayWindow>,
}

impl HeaderValidator {
    /// Returns the guard of a fleet.
    pub(crate) fn new(cluster: u64) -> Self {
        Self {
            cluster,
            windows: HashMap::new(),
        }
    }

    /// Checks the fleet and version of a message.
    pub(crate) fn check(&self, header: &Header) -> Result<(), Rejection> {
        if header.cluster != self.cluster {
            return Err(Rejection::ForeignCluster);
        }
        if header.minimum_version > VERSION {
            return Err(Rejection::FutureVersion);
        }
        Ok(())
    }

    /// Checks a datagram, also that it was not seen before.
    pub(crate) fn check_once(&mut self, header: &Header) -> Result<(), Rejection> {
        self.check(header)?;
        let window = self.windows.entry(header.sender.clone()).or_default();
        if window.accept(header.epoch_us, header.sequence) {
            Ok(())
        } else {
            Err(Rejection::Replayed)
        }
    }

    /// Returns how many senders are kept.
    pub(crate) fn sender_count(&self) -> usize {
        self.windows.len()
    }

    /// Forgets all senders but those that `keep` accepts.
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
