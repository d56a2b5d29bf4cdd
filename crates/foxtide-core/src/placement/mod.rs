//! Which upstream a request goes to, decided alike by every instance.
//!
//! An upstream serves an object that it served lately in a fraction of the
//! time, so that the same object should go to the same upstream from
//! everywhere. [`rank`] orders upstreams for an object without any instance
//! asking another; [`UpstreamHealth`] tells which are to be passed over, and
//! [`ColdRateLimiter`] how many requests this instance may send to a cold one.

mod affinity;
mod cold;
mod health;
mod overflow;
mod regions;

pub use affinity::{
    Candidate,
    ObjectKey,
    first_choices,
    rank, //
};
pub use cold::{
    ColdRateLimit,
    ColdRateLimiter, //
};
pub use health::{
    AttemptResult,
    LoadReport,
    UpstreamHealth, //
};
pub use overflow::{
    lacks_capacity,
    overflow_budget, //
};
pub use regions::{
    Demand,
    HomedLoad,
    RegionShares,
    UpstreamWeights,
    region_shares, //
};
