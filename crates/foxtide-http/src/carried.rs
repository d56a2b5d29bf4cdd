//! Identities of the requests that a connection has carried.

use std::collections::VecDeque;
use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

/// Maximum number of requests that are remembered unless they were rejected. A
/// second response to a request arrives in place of one that follows, not many
/// responses later.
const REMEMBERED_MAX: usize = 32;

/// Number of rejected requests after which a connection is not used again.
const REJECTED_MAX: usize = 256;

/// Identities of the latest requests on a connection.
///
/// A response names its request by identity. On a connection that has carried
/// a request before, a late second response to the first send would pass for
/// the response to the next one, so that a request is not repeated there.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    /// Hashes of the identities, oldest first.
    hashes: VecDeque<u64>,
    /// Hashes of the identities that were rejected. Their requests may be sent
    /// again after any time, so that none of them is forgotten.
    rejected: Vec<u64>,
}

impl CarriedRequests {
    /// Records that a request is sent on the connection.
    pub fn record(&mut self, identity: &str) {
        if self.hashes.len() == REMEMBERED_MAX {
            self.hashes.pop_front();
        }
        self.hashes.push_back(hash(identity));
    }

    /// Records that a request was rejected on the connection.
    pub fn record_rejected(&mut self, identity: &str) {
        self.rejected.push(hash(identity));
    }

    /// Returns whether the connection has carried as many rejected requests as
    /// are remembered.
    pub fn is_full(&self) -> bool {
        self.rejected.len() >= REJECTED_MAX
    }

    /// Returns whether the connection may have carried a request of this
    /// identity.
    pub fn contains(&self, identity: &str) -> bool {
        let hash = hash(identity);
        self.hashes.contains(&hash) || self.rejected.contains(&hash)
    }
}

fn hash(identity: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    identity.hash(&mut hasher);
    hasher.finish()
}
