//! Discrete-event simulation of load on one service, without network or real time.
//!
//! Upstreams have slots and a bounded FIFO queue, and serve cached objects faster.
//! Messages between instances are delayed. Upstream order, region shares and slot
//! coordination come from `foxtide-core`; the admission sequence (first choice, second
//! choice, waiting) mirrors the gateway's `forward::admit`.
//!
//! Runs are deterministic: the same settings and seed give the same outcome.

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
