//! Places requests on upstreams; every instance computes the same placement.
//!
//! An upstream serves recently used objects much faster, so all instances should send
//! the same object to the same upstream. [`rank`] orders upstreams for an object
//! without coordination; [`UpstreamHealth`] tells which upstreams are ejected, and
//! [`ColdRateLimiter`] limits requests to cold ones.

mod affinity;
mod cold;
pub mod demand;
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
