//! Rules that determine the destination of traffic.

use serde::{
    Deserialize,
    Serialize, //
};
use std::fmt;

/// The rule behind a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// The caller's region is a home of the service and serves its own traffic.
    OwnRegion,
    /// A random home region, by weight.
    Weighted,
    /// A planned move directs this share of the traffic.
    PlannedMove,
    /// The planned region was at a limit; the request went to another home within
    /// the contract's spill-over limit.
    Spilled,
    /// The planned region has no usable upstream.
    RegionFailed,
    /// Redirected to the instance that owns the idempotency key.
    KeyOwner,
    /// The idempotency key is known: the stored answer was returned.
    KeyReplayed,
    /// Rejected: this instance's part of a region's sold rate is used up.
    RegionLimit,
    /// Rejected: this instance's part of a link's sold rate is used up.
    LinkLimit,
    /// Rejected: the contract's spill-over limit is reached.
    SpillLimit,
    /// Rejected: the request would have waited beyond its deadline.
    Deadline,
    /// Rejected: no upstream is usable.
    NoUpstream,
    /// Rejected: the idempotency key cannot be accepted.
    KeyRefused,
    /// Rejected: the request is malformed or names an unknown service.
    Malformed,
    /// Look-up: the instances of the client's region.
    ClientRegion,
    /// Look-up: the client's address block belongs to a site.
    ClientBlock,
    /// Look-up: the instances of the next region, as none is live in the client's.
    NextRegion,
    /// Look-up: any live instances, as the client's location is unknown.
    AnyInstance,
}

impl Rule {
    /// Returns a description of the rule.
    pub const fn text(self) -> &'static str {
        match self {
            Self::OwnRegion => "the caller's region is a home and serves its own traffic",
            Self::Weighted => "drawn by the weights of the home regions",
            Self::PlannedMove => "a planned move directs this part of the traffic",
            Self::Spilled => "the planned region is at a limit, spilled over within the contract",
            Self::RegionFailed => "the planned region has no usable upstream",
            Self::KeyOwner => "the caller was sent to the instance that owns the idempotency key",
            Self::KeyReplayed => "the idempotency key is known, the first answer was given again",
            Self::RegionLimit => "refused: the region's sold rate is used up",
            Self::LinkLimit => "refused: the link's sold rate is used up",
            Self::SpillLimit => "refused: the contract's spill-over limit is reached",
            Self::Deadline => "refused: it would have waited beyond its deadline",
            Self::NoUpstream => "refused: no upstream is usable",
            Self::KeyRefused => "refused: the idempotency key cannot be accepted",
            Self::Malformed => "refused: malformed, or names nothing that is served",
            Self::ClientRegion => "the live instances of the client's region",
            Self::ClientBlock => "the client's block of addresses belongs to a site",
            Self::NextRegion => "no live instance in the client's region, those of the next one",
            Self::AnyInstance => "nothing is known of the client, any live instances",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text())
    }
}
