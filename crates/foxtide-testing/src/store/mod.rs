//! Test server for the platform's key-value store.
//!
//! Implements the part of Consul's HTTP API that foxtide uses: KV with
//! blocking queries and check-and-set, and sessions that lock keys.

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
