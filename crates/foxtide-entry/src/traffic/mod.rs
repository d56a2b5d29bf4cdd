//! Traffic state shared by all workers: steering, balancing and retries.
//!
//! ```text
//! TrafficTables -> OrganisationTraffic (steering)
//!                  -> ServiceTraffic (retries)
//!                     -> RegionTraffic (balancer)
//! ```
//!
//! Lock order: the table of organisations, an organisation's steering, a
//! region's balancer, a service's retries. Two locks of the same kind are never
//! held together, and no lock is held across an await.

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
