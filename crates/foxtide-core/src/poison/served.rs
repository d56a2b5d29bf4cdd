//! Requests that were served of late.

use super::Fingerprint;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// The number of slots; a request overwrites the one before in its slot.
const SLOTS: usize = 4_096;

/// The fingerprints of requests that an instance has served, most of the latest ones.
///
/// A request that was served before most likely was at a failed upstream by chance.
#[derive(Debug)]
pub struct Served(Box<[AtomicU64]>);

impl Default for Served {
    fn default() -> Self {
        Self((0..SLOTS).map(|_| AtomicU64::new(0)).collect())
    }
}

impl Served {
    /// Records a request that was served.
    pub fn record(&self, fingerprint: Fingerprint) {
        self.slot(fingerprint)
            .store(fingerprint.hash(), Ordering::Relaxed);
    }

    /// Tells whether a request is known to have been served.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.slot(fingerprint).load(Ordering::Relaxed) == fingerprint.hash()
    }

    fn slot(&self, fingerprint: Fingerprint) -> &AtomicU64 {
        &self.0[fingerprint.hash() as usize % SLOTS]
    }
}
