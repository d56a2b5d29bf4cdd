//! What the store says, passed on between instances.
//!
//! The store may turn some instances away while it serves others. An instance
//! that it turns away asks a peer for what has changed; a peer answers only
//! from what it has itself just read.

mod client;
mod log;
mod messages;
mod server;

pub(crate) use client::{
    RelayClient,
    RelayError, //
};
pub(crate) use log::RecordLog;
pub(crate) use server::serve_peers;
