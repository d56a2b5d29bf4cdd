//! Reads a whole request from a connection.

use crate::memory::{
    BodyMemory,
    BodyReservation, //
};
use crate::outcome::Refusal;
use foxtide_core::routing::CallerLimits;
use foxtide_http::{
    BodyLength,
    BufferedStream,
    ForwardedRequest,
    HeadError,
    MessageError,
    read_body,
    read_head, //
};
use futures_lite::future::or;
use smol::Timer;
use std::future::Future;
use std::time::Duration;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Retry-After if there is no memory for a body.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why no request was received.
#[derive(Debug)]
pub(super) enum ReceiveError {
    /// The caller has disconnected.
    Disconnected,
    /// The request is refused, and the connection cannot be used any more.
    Refused(Refusal),
}

/// Reads a head whose first byte has arrived.
///
/// # Errors
///
/// Fails if no valid head arrives in time.
pub(super) async fn receive_head(
    stream: &mut BufferedStream,
    limits: &CallerLimits,
) -> Result<ForwardedRequest, ReceiveError> {
    let limit_bytes = usize::try_from(limits.head.get()).unwrap_or(usize::MAX);
    let reading = read_head(stream, limit_bytes);
    let read = with_timeout(limits.head_time, reading).await?;
    let Some(bytes) = read.map_err(receive_error)? else {
        return Err(ReceiveError::Disconnected);
    };
    ForwardedRequest::parse(&bytes).map_err(bad_head)
}

/// Reads the body that belongs to a head, and reserves its memory.
///
/// # Errors
///
/// Fails if the body does not arrive in time or there is no memory for it.
pub(super) async fn receive_body(
    stream: &mut BufferedStream,
    head: &ForwardedRequest,
    limits: &CallerLimits,
    memory: &BodyMemory,
) -> Result<(Vec<u8>, BodyReservation), ReceiveError> {
    let stated_bytes = match head.length {
        BodyLength::Fixed { size_bytes } if size_bytes <= limits.body.get() => size_bytes,
        _ => 0,
    };
    let reserved = reserve(memory, stated_bytes)?;
    let body = read_whole(stream, head, limits).await?;
    if body.len() as u64 == stated_bytes {
        return Ok((body, reserved));
    }
    // The size of a chunked body is known only now.
    let reserved = reserve(memory, body.len() as u64)?;
    Ok((body, reserved))
}

fn reserve(memory: &BodyMemory, size_bytes: u64) -> Result<BodyReservation, ReceiveError> {
    let retry_after = MEMORY_RETRY_AFTER;
    let refused = ReceiveError::Refused(Refusal::NotRun { retry_after });
    memory.try_reserve(size_bytes).ok_or(refused)
}

async fn read_whole(
    stream: &mut BufferedStream,
    head: &ForwardedRequest,
    limits: &CallerLimits,
) -> Result<Vec<u8>, ReceiveError> {
    let limit_bytes = usize::try_from(limits.body.get()).unwrap_or(usize::MAX);
    if head.length == BodyLength::None {
        return Ok(Vec::new());
    }
    if matches!(head.length, BodyLength::Fixed { size_bytes } if size_bytes > limits.body.get()) {
        return Err(ReceiveError::Refused(Refusal::BodyTooLong));
    }
    if head.expects_continue && stream.write_all(CONTINUE).await.is_err() {
        return Err(ReceiveError::Disconnected);
    }
    let reading = read_body(stream, head.length, limit_bytes);
    with_timeout(BODY_TIMEOUT, reading)
        .await?
        .map_err(receive_error)
}

async fn with_timeout<T>(
    limit: Duration,
    future: impl Future<Output = T>,
) -> Result<T, ReceiveError> {
    let late = async {
        Timer::after(limit).await;
        Err(ReceiveError::Refused(Refusal::RequestTimeout))
    };
    or(async { Ok(future.await) }, late).await
}

fn receive_error(error: MessageError) -> ReceiveError {
    match error {
        MessageError::Io(_) | MessageError::Truncated => ReceiveError::Disconnected,
        MessageError::HeadTooLong => ReceiveError::Refused(Refusal::HeadTooLong),
        MessageError::BodyTooLong => ReceiveError::Refused(Refusal::BodyTooLong),
        MessageError::BadChunk
        | MessageError::TrailingBytes
        | MessageError::UnknownLength
        | MessageError::Head(_) => ReceiveError::Refused(Refusal::BadRequest),
    }
}

fn bad_head(_: HeadError) -> ReceiveError {
    ReceiveError::Refused(Refusal::BadRequest)
}
