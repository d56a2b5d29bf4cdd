//! The tables on which every worker decides where requests go.
//!
//! ```text
//! TrafficTables -> OrganisationTraffic (steering)
//!                  -> ServiceTraffic (retries)
//!                     -> RegionTraffic (balancer)
//! ```
//!
//! Locks, in this order: the table of organisations, an organisation's
//! steering, a region's balancer, a service's retries. No two of the same kind
//! are held at a time, and none while a task waits.

mod metrics;
mod options;
mod organisation;
mod poller;
mod region;
mod service;
mod slot;
mod tables;
mod view;

pub use options::TrafficOptions;
pub(crate) use organisation::OrganisationTraffic;
pub(crate) use poller::Poller;
pub(crate) use region::RegionTraffic;
pub(crate) use service::ServiceTraffic;
pub(crate) use slot::{
    Slot,
    SlotChoice, //
};
pub(crate) use tables::UpstreamChange;
pub use tables::{
    SentCount,
    TrafficTables,
    UpstreamState, //
};
