//! Receives complete requests.

use super::state::ListenerState;
use crate::answer::Refusal;
use crate::limiter::Permit;
use crate::options::{
    Limits,
    size, //
};
use crate::timeout::{
    Elapsed,
    timeout, //
};
use foxtide_http::{
    BodyLength,
    BufferedStream,
    HeadError,
    MessageError,
    RequestHead,
    read_body,
    read_head, //
};
use http_types::StatusCode;
use std::net::SocketAddr;

const CONTINUE_ANSWER: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Complete request.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// Remote address.
    pub(crate) peer: SocketAddr,
    /// Memory reserved for the body while the request is in progress.
    pub(crate) body_permit: Option<Permit>,
}

/// Reason why no request was received.
#[derive(Debug)]
pub(crate) enum ReceiveError {
    /// The peer disconnected and cannot be answered.
    Disconnected,
    /// The request is answered with a refusal.
    Rejected(Refusal),
}

/// Receives a complete request.
///
/// The body is read completely before the request is forwarded, so that a slow
/// caller does not hold a slot at an upstream.
///
/// # Errors
///
/// Returns an error if no acceptable request arrives in time.
pub(crate) async fn receive(
    stream: &mut BufferedStream,
    limits: &Limits,
    state: &ListenerState,
    peer: SocketAddr,
) -> Result<ReceivedRequest, ReceiveError> {
    let bytes = timeout(limits.head_time, read_head(stream, size(limits.head))).await;
    let bytes = flatten_timeout(bytes)?.ok_or(ReceiveError::Disconnected)?;
    let head = RequestHead::parse(&bytes).map_err(|error| rejection(&error.into()))?;
    let body_permit = reserve_body(&head, limits, state)?;
    if head.head.expects_continue && stream.buffered().is_empty() {
        let sent = timeout(limits.head_time, stream.write_all(CONTINUE_ANSWER)).await;
        flatten_timeout(sent.map(|written| written.map_err(MessageError::from)))?;
    }
    let body = read_body(stream, head.head.length, size(limits.request_body));
    let body = flatten_timeout(timeout(limits.body_time, body).await)?;
    Ok(ReceivedRequest {
        head,
        body,
        peer,
        body_permit: Some(body_permit),
    })
}

/// Reserves memory for a body before reading it.
fn reserve_body(
    head: &RequestHead,
    limits: &Limits,
    state: &ListenerState,
) -> Result<Permit, ReceiveError> {
    let longest = size(limits.request_body);
    let size_bytes = match head.head.length {
        BodyLength::None => 0,
        BodyLength::Fixed { size_bytes } => usize::try_from(size_bytes)
            .unwrap_or(usize::MAX)
            .min(longest),
        BodyLength::Chunked | BodyLength::UntilClose => longest,
    };
    let full = || Refusal::not_run(StatusCode::ServiceUnavailable, "too-many-bodies");
    let body_permit = state.reserve_body(size_bytes);
    body_permit.ok_or_else(|| ReceiveError::Rejected(full()))
}

fn flatten_timeout<T>(read: Result<Result<T, MessageError>, Elapsed>) -> Result<T, ReceiveError> {
    match read {
        Ok(read) => read.map_err(|error| rejection(&error)),
        Err(Elapsed) => Err(ReceiveError::Rejected(Refusal::not_run(
            StatusCode::RequestTimeout,
            "request-too-slow",
        ))),
    }
}

fn rejection(error: &MessageError) -> ReceiveError {
    let (status, reason) = match error {
        MessageError::Io(_) => return ReceiveError::Disconnected,
        MessageError::Truncated => (StatusCode::BadRequest, "request-cut"),
        MessageError::NoMemory => (StatusCode::ServiceUnavailable, "too-many-bodies"),
        MessageError::HeadTooLong => {
            let status = StatusCode::RequestHeaderFieldsTooLarge;
            (status, "head-too-long")
        }
        MessageError::BodyTooLong => (StatusCode::PayloadTooLarge, "body-too-long"),
        // Bytes after a request are read as the next one.
        MessageError::TrailingBytes => (StatusCode::BadRequest, "malformed-head"),
        MessageError::BadChunk => (StatusCode::BadRequest, "malformed-chunk"),
        MessageError::UnknownLength => (StatusCode::LengthRequired, "length-required"),
        MessageError::Head(error) => match error {
            // Only responses have a status.
            HeadError::Malformed
            | HeadError::InvalidStatus { .. }
            | HeadError::UnrequestedUpgrade => (StatusCode::BadRequest, "malformed-head"),
            HeadError::AmbiguousLength => (StatusCode::BadRequest, "ambiguous-length"),
            HeadError::Version => {
                let status = StatusCode::HttpVersionNotSupported;
                (status, "version-not-supported")
            }
            HeadError::UnknownMethodOrStatus => (StatusCode::NotImplemented, "method-not-known"),
            HeadError::TransferCoding => (StatusCode::NotImplemented, "transfer-coding-not-known"),
        },
    };
    ReceiveError::Rejected(Refusal::not_run(status, reason))
}
