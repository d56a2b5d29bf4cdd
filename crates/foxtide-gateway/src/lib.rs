//! Routes requests by host and path to upstreams that register themselves.
//!
//! An instance accepts requests from callers, finds the route by host and path, and forwards
//! each request to an upstream of the route's service. It follows routes, upstreams and other
//! instances in the platform's store. Two traits abstract the platform: [`Dialect`] for the
//! wire format, [`FleetStore`] for the store.

mod admission;
mod alarm;
mod connect;
mod datagram;
mod dialect;
mod directory;
mod errors;
mod follow;
mod forward;
mod front;
mod gateway;
mod hedging;
mod journal;
mod lifecycle;
mod link;
mod listener;
mod membership;
mod memory;
mod neighbours;
mod options;
mod outcome;
mod poison;
mod pool;
mod quotas;
mod reach;
mod relay;
mod shared;
mod stall;
mod state;
mod store;
mod store_calls;
mod traffic;
mod upstream_connection;

pub use dialect::{
    CallerHeaders,
    CallerIdentity,
    Credentials,
    Dialect,
    ForwardHeaders,
    Lookup,
    Statement,
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
    WRITTEN_KEYS_MAX, //
};
