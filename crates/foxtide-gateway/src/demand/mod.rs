//! Exchanges the demand of all regions' callers.
//!
//! Once a second, each instance reports its demand to an aggregator of its region. The aggregators
//! exchange the sums of their regions and answer with those of all.

mod aggregators;
mod exchange;
mod task;

pub(crate) use exchange::{
    DemandExchange,
    FleetView, //
};
pub(crate) use task::{
    DemandHost,
    exchange_demand,
    receive_report,
    receive_summary, //
};
