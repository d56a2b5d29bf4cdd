//! The identity of a request by its content.

use crate::{
    Error,
    Result, //
};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The digits of a fingerprint as text.
const DIGITS: usize = 16;

/// What two requests have in common that ask for the same in the same words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Returns the fingerprint of a request's content: its organisation, method, host, target
    /// and body, each with its length, so that no part runs into the next.
    pub fn new(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }

    /// Returns the fingerprint that another instance has sent.
    pub fn from_hash(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the hash, to be sent to another instance.
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

    /// Reads 16 hexadecimal digits.
    fn from_str(text: &str) -> Result<Self> {
        let hash = u64::from_str_radix(text, 16).ok();
        let hash = hash.filter(|_| text.len() == DIGITS);
        hash.map(Self)
            .ok_or_else(|| Error::parse(text, "16 hexadecimal digits"))
    }
}
