//! Keeps what is sent to regions and over links under what was sold.
//!
//! The sold rate of each region and of each link is split among the instances
//! that send there. [`split`] holds the arithmetic that keeps the sum of the
//! parts under the sold rate while views differ, [`claim`] what an instance
//! asks for, [`bucket`] how it spends its part.

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
