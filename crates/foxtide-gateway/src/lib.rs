//! Requests routed by host and path to upstreams that register themselves.
//!
//! An instance takes requests from callers, finds the route by host and path,
//! and forwards each to an upstream of the route's service. Routes, upstreams
//! and the other instances are followed in the platform's store. What the
//! platform calls things is hidden behind two traits: [`Dialect`] for headers
//! and calls on the wire, [`FleetStore`] for the store.

mod admission;
mod alarm;
mod datagram;
mod dialect;
mod directory;
mod errors;
mod follow;
mod forward;
mod front;
mod gateway;
mod journal;
mod lifecycle;
mod listener;
mod membership;
mod memory;
mod options;
mod outcome;
mod poison;
mod pool;
mod quotas;
mod relay;
mod shared;
mod stall;
mod state;
mod store;
mod store_calls;
mod traffic;

pub use dialect::{
    CallerHeaders,
    CallerIdentity,
    Credentials,
    Dialect,
    ForwardHeaders,
    Lookup,
    UpstreamHeaders, //
};
pub use errors::{
    Error,
    Result,
    Step, //
};
pub use gateway::Gateway;
pub use options::{
    Addresses,
    AdmissionOptions,
    Bounds,
    GatewayOptions,
    Place, //
};
pub use store::{
    Changes,
    Fact,
    FleetStore,
    Freshness,
    LeaseId,
    Page,
    RECORDS_MAX, //
};
