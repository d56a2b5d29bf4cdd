//! Messages between foxtide instances: membership, configuration, load and calls.
//!
//! The protocols are state machines in [`foxtide_core::membership`] and
//! [`foxtide_core::dissemination`]; this crate does their encoding and network I/O.

mod calls;
mod datagrams;
mod documents;
mod errors;
mod faults;
mod handle;
mod header_validator;
mod join;
mod load;
mod options;
mod shared;
mod streams;
mod traffic;
mod wire;

pub use calls::IncomingCall;
pub use errors::{
    CallError,
    Error,
    Result, //
};
pub use faults::Faults;
pub use handle::{
    Mesh,
    MeshHandle, //
};
pub use join::Synchronisation;
pub use options::{
    Identity,
    MeshOptions, //
};
pub use traffic::{
    Rejection,
    TrafficCounts, //
};
