//! Status of an upstream.

use std::fmt;

/// The status of an upstream at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamStatus {
    /// It gets its full share of the requests.
    Serving,
    /// It is new or has returned and gets a growing share.
    Ramping,
    /// It is leaving and gets no new requests.
    Leaving,
    /// It does not respond and is only polled.
    Dead,
    /// It fails far more often than the rest and is excluded for a time.
    Ejected,
    /// It is outside this instance's subset.
    Unused,
}

impl fmt::Display for UpstreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Ramping => "ramping",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
            Self::Ejected => "ejected",
            Self::Unused => "unused",
        })
    }
}
