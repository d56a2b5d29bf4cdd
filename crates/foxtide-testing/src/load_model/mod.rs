//! A model of load on one service, without network, on virtual time.
//!
//! Upstreams have slots, a first-come-first-served queue that refuses when it is full,
//! and serve objects that they know in a part of the time. Instances know what they
//! have been told, with delays. The decisions are those of `foxtide-core`: the order of
//! upstreams for an object, the regions' shares, and the coordinators of slots. The way
//! of a request between them (its own upstream, the second choice, waiting) is that of
//! the gateway's `forward::admit`.
//!
//! Everything is drawn from a seed: the same load and seed give the same outcome.

mod callers;
mod faults;
mod fleet;
mod outcome;
mod plot;
mod request;
mod serving;
mod settings;
mod shift;
mod simulation;
mod slot_requests;
mod upstream;

pub use outcome::{
    Cause,
    LoadOutcome,
    LoadWindow, //
};
pub use plot::plot;
pub use settings::{
    CoordinatorFault,
    CoordinatorFaultKind,
    LoadError,
    LoadSettings,
    RegionLoad,
    UpstreamFault,
    UpstreamFaultKind, //
};
pub use shift::{
    SentRequest,
    Shift, //
};
pub use simulation::simulate;
