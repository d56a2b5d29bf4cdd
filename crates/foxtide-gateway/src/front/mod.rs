//! Serves the connections of callers.

mod connection;
mod local;
mod receive;
mod write;

pub(crate) use connection::serve_connection;
