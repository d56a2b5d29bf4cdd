//! Fingerprint of a request's content.

use crate::{
    Error,
    Result, //
};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The number of hexadecimal digits of a fingerprint.
const DIGITS: usize = 16;

/// A 64-bit hash of a request's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request's content: its organisation, method, host, target
    /// and body. Each part is hashed with its length, which delimits the parts.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Returns the fingerprint with a hash that another instance sent.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash, as sent to other instances.
    pub fn hash(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fingerprint {
    /// Writes the fingerprint as 16 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = Error;

    /// Parses 16 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self> {
        let hash = u64::from_str_radix(text, 16).ok();
        let hash = hash.filter(|_| text.len() == DIGITS);
        hash.map(Self)
            .ok_or_else(|| Error::parse(text, "16 hexadecimal digits"))
    }
}
