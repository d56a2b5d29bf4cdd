//! Request quotas of organisations, enforced across all instances.
//!
//! A quota is split into equal parts, one for each region. Each part has one coordinator:
//! an instance of the region that all instances derive from the same member list. It holds
//! the token bucket and hands out tokens. An instance asks the coordinator of its own
//! region before it forwards a request, and those of the other regions if that one has no
//! tokens left, so that the whole quota is available in every region.
//!
//! ```text
//! request -> QuotaAnswer::Granted | QuotaAnswer::Rejected | QuotaAnswer::NotCoordinator
//! ```
//!
//! The total stays below the bound during failures because:
//!
//! - tokens expire after [`TOKEN_TIME`];
//! - a new bucket holds what it would have accrued since the region's instances last
//!   changed, so that a failover or restart does not grant a second burst;
//! - a newly started process refills its buckets at a reduced rate, since another instance
//!   may still hand out the same part;
//! - an instance whose coordinators do not answer has only [`FallbackTokens`], its share of
//!   a small part of the bound's slack.

mod bucket;
mod coordinator;
mod fallback;
mod parts;
mod token_cache;

pub use coordinator::{
    QuotaAnswer,
    QuotaCoordinator,
    QuotaRequest, //
};
pub use fallback::FallbackTokens;
pub use parts::{
    QuotaBounds,
    QuotaParts, //
};
pub use token_cache::{
    TOKEN_TIME,
    TokenCache, //
};
