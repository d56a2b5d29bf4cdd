//! The HTTP server that all stand-ins share.
//!
//! Messages are decoded and encoded by `async-h1`; the loop over a connection
//! is our own, because a stand-in has to send answers that are wrong.

mod connection;
mod listener;
mod shared;

pub(crate) use connection::{
    Call,
    Endpoint,
    Reply,
    encode, //
};
pub(crate) use listener::Server;

use http_types::{
    Response,
    StatusCode, //
};
use serde::Serialize;

/// Whether a stand-in takes connections and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It answers.
    #[default]
    Serving,
    /// Nobody listens: new connections are refused by the system.
    Refusing,
    /// Connections and requests are taken, nothing is ever answered.
    Silent,
    /// Every request is answered with status 500 and has no effect.
    Failing,
}

/// Returns an answer with this status and text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(text.into());
    response
}

/// Returns an answer with status 200 and this value as JSON.
pub(crate) fn json(value: &impl Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(bytes) => json_bytes(bytes),
        Err(error) => text(StatusCode::InternalServerError, error.to_string()),
    }
}

fn json_bytes(bytes: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(bytes);
    response.set_content_type(http_types::mime::JSON);
    response
}
