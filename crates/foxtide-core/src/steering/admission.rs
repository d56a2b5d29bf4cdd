//! The outcome of an admission decision.

use crate::ids::RegionId;
use std::fmt;
use std::time::Duration;

/// The decision on one attempt to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to an upstream of this region.
    Send {
        /// The region.
        region: RegionId,
        /// Whether the request spills over from its planned region.
        spilled: bool,
    },
    /// Ask for admission again after a delay, with the same draw.
    Wait {
        /// The time to wait before asking again.
        retry_in: Duration,
    },
    /// Reject the request without running it.
    Reject {
        /// Why the request is rejected.
        reason: RejectionReason,
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectionReason {
    /// The instance has not yet synchronised its rows with its peers.
    NotReady,
    /// The organisation has no such service.
    UnknownService,
    /// No home region can serve the service.
    NoRegion,
    /// Serving the request would shift traffic faster than the shift cap allows.
    ShiftCap,
    /// The instance's allocation of the region's sold rate is exhausted.
    RegionLimit,
    /// The instance's allocation of the link's sold rate is exhausted.
    LinkLimit,
}

impl fmt::Display for RejectionReason {
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
