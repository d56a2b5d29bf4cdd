//! Serves the connections of callers.

mod connection;
mod local;
mod receive;

pub(crate) use connection::serve_connection;
