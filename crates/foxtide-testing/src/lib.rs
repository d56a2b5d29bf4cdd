//! Stand-ins for the platform that foxtide runs on, for tests and trials.
//!
//! Each stand-in listens on loopback, on a port of the system's choice unless
//! one is named, runs on smol's global executor, and ends when its handle is
//! dropped. Its faults are set on the handle while it runs.
//!
//! * [`StoreServer`]: the key-value store with leases and watches.
//! * [`InstanceListServer`]: the platform's lagging list of instances.
//! * [`UpstreamServer`]: one target of a service.
//!
//! [`load_model`] plays load on a service without network, on virtual time.

mod client;
mod duration;
mod http;
mod instance_list;
pub mod load_model;
pub mod scenario;
mod store;
mod upstream;
mod virtual_fleet;

pub use client::{
    HttpAnswer,
    http_call, //
};
pub use duration::{
    Span,
    SpanError, //
};
pub use http::Availability;
pub use instance_list::{
    InstanceListOptions,
    InstanceListServer,
    ListedInstance,
    ListedState, //
};
pub use store::{
    CallKind,
    CallStats,
    StoreOptions,
    StoreServer, //
};
pub use upstream::{
    AnswerFault,
    ColdStart,
    FaultSpan,
    HealthReport,
    LoadFormat,
    LoadReport,
    RunRecord,
    ServiceTime,
    UpstreamOptions,
    UpstreamServer,
    UpstreamStats, //
};
pub use virtual_fleet::{
    FalseDetections, //
    VirtualFleet,
    VirtualFleetOptions, //
};
