//! What foxtide processes say to each other: membership and spreading.
//!
//! The decisions are in [`foxtide_core::membership`] and
//! [`foxtide_core::dissemination`]; this crate encodes, sends and receives.

mod calls;
mod datagrams;
mod documents;
mod errors;
mod faults;
mod guard;
mod handle;
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
