//! HTTP server that all test servers share.
//!
//! `async-h1` decodes and encodes messages; the connection loop is separate
//! because faults require malformed answers.

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

/// Whether a test server accepts connections and answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Requests are answered.
    #[default]
    Serving,
    /// The port is closed: the system refuses new connections.
    Refusing,
    /// Connections and requests are accepted, but never answered.
    Silent,
    /// Every request fails with status 500 and has no effect.
    Failing,
}

/// Returns an answer with the status and text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(status);
    response.set_body(text.into());
    response
}

/// Returns an answer with status 200 and the value as JSON.
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
