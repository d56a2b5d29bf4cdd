//! Types of rates, shares, sizes and revisions.

use crate::{
    Error,
    Result, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;
use std::str::FromStr;

macro_rules! define_quantity {
    ($(#[$doc:meta])* $name:ident, $unit:literal, $expected:literal, $valid:expr) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "f64", into = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0.0);

            /// Creates the quantity.
            ///
            /// # Errors
            ///
            /// Fails if `value` is outside the type's range.
            pub fn new(value: f64) -> Result<Self> {
                let valid: fn(f64) -> bool = $valid;
                if !valid(value) {
                    return Err(Error::parse(&value.to_string(), $expected));
                }
                Ok(Self(value))
            }

            /// Returns the value in the type's unit.
            pub const fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = Error;

            fn try_from(value: f64) -> Result<Self> {
                Self::new(value)
            }
        }

        impl From<$name> for f64 {
            fn from(quantity: $name) -> Self {
                quantity.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                let number = text.strip_suffix($unit).unwrap_or(text);
                let value = number.trim().parse();
                Self::new(value.map_err(|_| Error::parse(text, $expected))?)
            }
        }
    };
}

define_quantity!(
    /// A rate in requests per second.
    RequestRate,
    "rps",
    "a rate in requests a second, 0 or more, such as `250rps`",
    |value| value.is_finite() && value >= 0.0
);
define_quantity!(
    /// A fraction from 0 to 1.
    Share,
    "",
    "a share from 0 to 1, such as `0.25`",
    |value| (0.0..=1.0).contains(&value)
);
define_quantity!(
    /// A rate of change of a share, per second.
    ShareRate,
    "/s",
    "a change of a share in a second, above 0 and at most 1, such as `0.02/s`",
    |value| value > 0.0 && value <= 1.0
);

impl Share {
    /// The whole, 1.
    pub const ONE: Self = Self(1.0);

    /// Clamps `value` to the range of a share; NaN becomes 0.
    pub fn clamped(value: f64) -> Self {
        Self(value.clamp(0.0, 1.0).max(0.0))
    }
}

impl RequestRate {
    /// Clamps `value` to 0 or more; NaN and infinities become 0.
    pub fn clamped(value: f64) -> Self {
        if value.is_finite() {
            Self(value.max(0.0))
        } else {
            Self(0.0)
        }
    }
}

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(u64);

impl ByteSize {
    /// Creates a size in bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Creates a size in KiB.
    pub const fn from_kib(kib: u64) -> Self {
        Self(kib * 1_024)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix('B').unwrap_or(text);
        let bytes = number.parse();
        bytes
            .map(Self)
            .map_err(|_| Error::parse(text, "a size in bytes, such as `4096B`"))
    }
}

/// The revision of an organisation's configuration.
///
/// Each accepted change increments it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision before the first change.
    pub const ZERO: Self = Self(0);

    /// Creates a revision from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the revision after the next change.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for Revision {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_prefix('r').unwrap_or(text).parse();
        number
            .map(Self)
            .map_err(|_| Error::parse(text, "a revision, such as `r7`"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_quantities_round_trip() {
        let rate: RequestRate = "250rps".parse().unwrap();
        assert_eq!(rate.to_string().parse::<RequestRate>().unwrap(), rate);
        let pace: ShareRate = "0.02/s".parse().unwrap();
        assert_eq!(pace.to_string(), "0.02/s");
        let revision: Revision = "r7".parse().unwrap();
        assert_eq!(revision.next().to_string(), "r8");
    }

    #[test]
    fn verify_values_out_of_range_are_rejected() {
        assert!(RequestRate::new(-1.0).is_err());
        assert!(RequestRate::new(f64::NAN).is_err());
        assert!(Share::new(1.1).is_err());
        assert!(ShareRate::new(0.0).is_err());
    }

    #[test]
    fn verify_clamping_never_leaves_the_range() {
        assert_eq!(Share::clamped(f64::NAN), Share::ZERO);
        assert_eq!(Share::clamped(7.0), Share::ONE);
        assert_eq!(RequestRate::clamped(f64::INFINITY), RequestRate::ZERO);
    }
}
