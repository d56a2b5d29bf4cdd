//! Listeners and the connections of callers and operators.

mod connection;
mod listener;
mod request;
mod state;

pub(crate) use connection::Handler;
pub(crate) use listener::{
    bind,
    serve_listener, //
};
pub(crate) use request::ReceivedRequest;
pub(crate) use state::ListenerState;
