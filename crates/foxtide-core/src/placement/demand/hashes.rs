//! Short names of services, kinds and regions in messages about demand.
//!
//! Two names with the same hash count as one. With 500 names the probability is 3 in 100,000.

use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::routing::RequestKind;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! define_hash {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// Returns the hash that another instance has sent.
            pub const fn from_hash(hash: u32) -> Self {
                Self(hash)
            }

            /// Returns the number that identifies it in messages.
            pub const fn get(self) -> u32 {
                self.0
            }
        }

        impl fmt::Display for $name {
            /// Writes the hash as eight hexadecimal digits.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:08x}", self.0)
            }
        }
    };
}

define_hash!(
    /// The hash of a service's name.
    ServiceHash
);
define_hash!(
    /// The hash of a kind of requests.
    KindHash
);
define_hash!(
    /// The hash of a region's name.
    RegionHash
);

/// Returns the low half of a hash.
const fn low_half(hash: u64) -> u32 {
    (hash & 0xffff_ffff) as u32
}

impl ServiceHash {
    /// Returns the hash of a service.
    pub fn of(service: &ServiceId) -> Self {
        Self(low_half(xxh3_64(service.as_str().as_bytes())))
    }
}

impl KindHash {
    /// All kinds of a service that are too small to be named.
    pub const OTHERS: Self = Self(0);

    /// Returns the hash of a kind.
    pub fn of(kind: RequestKind) -> Self {
        Self(low_half(kind.hash()))
    }
}

impl RegionHash {
    /// Returns the hash of a region.
    pub fn of(region: &RegionId) -> Self {
        Self(low_half(xxh3_64(region.as_str().as_bytes())))
    }
}
