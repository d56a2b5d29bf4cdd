//! Relays changes of the store between instances.
//!
//! In a large fleet a few instances of each region, the watchers, follow the store and the
//! others query them, so that the calls to the store grow with the number of regions. An
//! instance whose calls the store rejects also queries a peer. A peer answers only if it
//! follows the store itself.

mod client;
mod copies;
mod messages;
mod packing;
mod server;

pub(crate) use client::{
    ChangesQuery,
    RelayClient,
    RelayError,
    RelayedChanges, //
};
pub(crate) use copies::Copies;
pub(crate) use server::serve_peers;
