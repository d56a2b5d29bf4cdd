//! A stand-in for the platform's key-value store.
//!
//! It speaks the part of Consul's published HTTP API that foxtide uses: KV
//! with blocking queries and check-and-set, and sessions that hold keys.

mod calls;
mod endpoint;
mod faults;
mod server;
mod sessions;
mod state;
mod wire;

pub use calls::{
    CallKind,
    CallStats, //
};
pub use server::{
    StoreOptions,
    StoreServer, //
};
