//! The demand of all regions, and the regional shares that follow from it.
//!
//! Each instance measures the demand of its own callers ([`DemandMeter`]) and reports it to an
//! aggregator of its region, which sums it up ([`RegionAggregate`]), smooths the sum
//! ([`SmoothedDemand`]) and exchanges it with those of other regions ([`RegionSums`]). All instances
//! of a region compute the same shares ([`demand_shares`]) and follow them at a limited pace
//! ([`PacedShift`]).

mod aggregate;
mod hashes;
mod knowledge;
mod meter;
mod pace;
mod service_demand;
mod shares;
mod smoothing;

pub use aggregate::{
    DemandByService,
    RegionAggregate, //
};
pub use hashes::{
    KindHash,
    RegionHash,
    ServiceHash, //
};
pub use knowledge::{
    DemandByOrigin,
    KnownDemand,
    RegionSums,
    SUM_AGE_MAX, //
};
pub use meter::DemandMeter;
pub use pace::{
    PacedShift,
    ShareShift, //
};
pub use service_demand::{
    BusySlots,
    ServiceDemand, //
};
pub use shares::{
    KindShares,
    ServiceLoad,
    demand_shares, //
};
pub use smoothing::SmoothedDemand;
