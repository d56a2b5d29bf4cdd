//! Test servers that simulate the platform that foxtide runs on.
//!
//! Each server listens on a free loopback port by default, runs on smol's
//! global executor and stops when its handle is dropped. The handle injects
//! faults while the server runs.
//!
//! * [`StoreServer`]: the key-value store with sessions and blocking reads.
//! * [`InstanceListServer`]: the platform's lagging list of instances.
//! * [`UpstreamServer`]: one upstream of a service.
//! * [`RawUpstream`]: one upstream that sends given bytes; it runs until the process ends.
//!
//! [`load_model`] simulates the load on a service in virtual time, without a network.

mod client;
mod duration;
mod http;
mod instance_list;
pub mod load_model;
mod raw;
pub mod scenario;
mod store;
mod upstream;
mod virtual_fleet;

pub use client::{
    HttpAnswer,
    http_call, //
};
pub use duration::{
    DurationArg,
    DurationArgError, //
};
pub use http::Availability;
pub use instance_list::{
    InstanceListOptions,
    InstanceListServer,
    ListedInstance,
    ListedState, //
};
pub use raw::{
    AfterResponse,
    RawCaller,
    RawReply,
    RawResponse,
    RawScript,
    RawUpstream,
    raw_call, //
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
    FalseDetections,
    VirtualFleet,
    VirtualFleetOptions, //
};
