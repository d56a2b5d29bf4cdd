//! How many requests an organisation may have run, over all instances together.
//!
//! A quota is cut into equal parts, one for each region. Of each part one instance of the
//! region, the same in everybody's eyes, is the coordinator: it keeps the bucket and hands
//! out tokens. An instance asks the coordinator of its own region before it forwards a
//! request, and those of the other regions where that one has none left, so that the
//! whole quota can be had anywhere.
//!
//! ```text
//! question -> QuotaAnswer::Granted | QuotaAnswer::Refused | QuotaAnswer::NotCoordinator
//! ```
//!
//! What keeps the sum below the bound whatever fails:
//!
//! - tokens lapse soon ([`TOKEN_TIME`]), so that none is used long after it was handed out;
//! - a bucket begins with what it would have gained since its region's instances last
//!   changed, so that no burst is there twice when a coordinator dies or starts again;
//! - a process that has just started hands out less ([`STARTUP_RATE_SHARE`]), as another instance
//!   may still be asked for the same part;
//! - an instance whose coordinators are silent has [`FallbackTokens`] alone: a small part of
//!   the bound's slack, cut among all instances.
//!
//! Against equal parts for all instances, this serves what a quota allows also where the
//! callers of an organisation lie unevenly: `docs/design/shifted.md` has both.

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
    TOKEN_TIME, //
    TokenCache, //
};
