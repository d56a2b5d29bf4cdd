//! Limits the request rates to regions and over links to their sold rates.
//!
//! Each sold rate is divided among the instances that send there. [`split`]
//! computes allocations whose sum stays within the sold rate even while the
//! instances' views differ, [`claim`] tracks the rates that instances ask for,
//! and [`bucket`] enforces an allocation.

mod bucket;
mod claim;
mod limit;
mod majority;
mod rate_limiter;
mod split;

pub use bucket::TokenBucket;
pub use claim::{
    Claim,
    ClaimWindow,
    Connectivity,
    LimitUse, //
};
pub use split::{
    Claims,
    allocate, //
};

pub(crate) use limit::{
    Limit,
    LimitInput,
    LimitTimes, //
};
