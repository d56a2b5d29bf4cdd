//! Kinds of requests.

use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// The kind of a request: all requests of one route take about the same work.
///
/// Identified by a hash of the route's name, which all instances compute alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKind(u64);

impl RequestKind {
    /// Returns the kind of a route's requests.
    pub fn of_route(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the kind with a hash from another instance.
    pub const fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash, for other instances.
    pub fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestKind {
    /// Writes the kind as 16 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
