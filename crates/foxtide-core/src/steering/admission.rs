//! What becomes of one attempt to send a request.

use crate::ids::RegionId;
use std::fmt;
use std::time::Duration;

/// What is to be done with one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to an upstream of this region.
    Send {
        /// The region.
        region: RegionId,
        /// Whether the region is another than the planned one.
        spilled: bool,
    },
    /// Ask again, with the same draw, after this time.
    Wait {
        /// How long to wait.
        retry_in: Duration,
    },
    /// Answer now that the request was not run.
    Refuse {
        /// Why there is no room for it.
        reason: RefusalReason,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// Why a request finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The instance does not know yet where its peers stand.
    NotReady,
    /// The organisation has no such service.
    UnknownService,
    /// No home region of the service can serve.
    NoRegion,
    /// Traffic is moving, and moving faster would break the shift cap.
    ShiftCap,
    /// The instance's part of the region's sold rate is used up.
    RegionLimit,
    /// The instance's part of the link's sold rate is used up.
    LinkLimit,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotReady => "not-ready",
            Self::UnknownService => "unknown-service",
            Self::NoRegion => "no-region",
            Self::ShiftCap => "shift-cap",
            Self::RegionLimit => "region-limit",
            Self::LinkLimit => "link-limit",
        })
    }
}
