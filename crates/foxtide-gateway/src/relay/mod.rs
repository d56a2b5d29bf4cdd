//! What the store says, passed on between instances.
//!
//! In a large fleet a few instances of each region follow the store and the
//! others ask them, so that the calls to the store grow with the regions. The
//! store may also turn some instances away while it serves others; one that it
//! turns away asks a peer. A peer answers only from what it has itself just
//! read.

mod client;
mod messages;
mod packing;
mod server;

pub(crate) use client::{
    ChangesQuery,
    RelayClient,
    RelayError,
    RelayedChanges, //
};
pub(crate) use server::serve_peers;
