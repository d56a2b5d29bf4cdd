//! Callers' connections: request after request, reply after reply.

mod connection;
mod local;
mod receive;

pub(crate) use connection::serve_connection;
