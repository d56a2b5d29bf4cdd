//! Reads a whole request from a connection.

use crate::memory::{
    BodyMemory,
    BodyReservation, //
};
use crate::outcome::Refusal;
use foxtide_core::routing::CallerLimits;
use foxtide_core::units::ByteSize;
use foxtide_http::{
    BodyAllowance,
    BodyLength,
    BufferedStream,
    ForwardedRequest,
    HeadError,
    MessageError,
    read_body,
    read_growing_body,
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
    let reading = read_head(stream, limit_bytes(limits.head));
    let read = with_timeout(limits.head_time, reading).await?;
    let Some(bytes) = read.map_err(receive_error)? else {
        return Err(ReceiveError::Disconnected);
    };
    ForwardedRequest::parse(&bytes).map_err(bad_head)
}

/// Reads the body that belongs to a head, and reserves its memory: before it arrives if its length
/// is stated, else as it arrives.
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
    let size_bytes = match head.length {
        BodyLength::None => return Ok((Vec::new(), reserve(memory, 0)?)),
        BodyLength::Fixed { size_bytes } => size_bytes,
        BodyLength::Chunked | BodyLength::UntilClose => {
            invite_body(stream, head).await?;
            let reading = read_growing(stream, head.length, limits, memory);
            return with_timeout(BODY_TIMEOUT, reading).await?;
        }
    };
    if size_bytes > limits.body.get() {
        return Err(ReceiveError::Refused(Refusal::BodyTooLong));
    }
    let reserved = reserve(memory, size_bytes)?;
    invite_body(stream, head).await?;
    let reading = read_body(stream, head.length, limit_bytes(limits.body));
    let read = with_timeout(BODY_TIMEOUT, reading).await?;
    Ok((read.map_err(receive_error)?, reserved))
}

/// Reads a body of unknown length, whose memory is reserved as it arrives.
async fn read_growing(
    stream: &mut BufferedStream,
    length: BodyLength,
    limits: &CallerLimits,
    memory: &BodyMemory,
) -> Result<(Vec<u8>, BodyReservation), ReceiveError> {
    let mut reserved = memory.reservation();
    let allowance = &mut AtOnce(&mut reserved);
    let reading = read_growing_body(stream, length, limit_bytes(limits.body), allowance);
    let body = reading.await.map_err(receive_error)?;
    reserved.shrink_to(body.len() as u64);
    Ok((body, reserved))
}

/// Grants the memory that is free: a request that cannot be received is refused at once.
struct AtOnce<'a>(&'a mut BodyReservation);

impl BodyAllowance for AtOnce<'_> {
    async fn grow(&mut self, more_bytes: usize) -> bool {
        self.0.try_grow(more_bytes as u64)
    }
}

/// Tells a caller that waits for it to send the body (RFC 9110, section 10.1.1).
async fn invite_body(
    stream: &mut BufferedStream,
    head: &ForwardedRequest,
) -> Result<(), ReceiveError> {
    if head.expects_continue && stream.write_all(CONTINUE).await.is_err() {
        return Err(ReceiveError::Disconnected);
    }
    Ok(())
}

fn reserve(memory: &BodyMemory, size_bytes: u64) -> Result<BodyReservation, ReceiveError> {
    memory.try_reserve(size_bytes).ok_or_else(no_memory)
}

fn no_memory() -> ReceiveError {
    let retry_after = MEMORY_RETRY_AFTER;
    ReceiveError::Refused(Refusal::NotRun { retry_after })
}

fn limit_bytes(limit: ByteSize) -> usize {
    usize::try_from(limit.get()).unwrap_or(usize::MAX)
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
        MessageError::NoMemory => no_memory(),
        MessageError::BadChunk
        | MessageError::TrailingBytes
        | MessageError::UnknownLength
        | MessageError::Head(_) => ReceiveError::Refused(Refusal::BadRequest),
    }
}

fn bad_head(_: HeadError) -> ReceiveError {
    ReceiveError::Refused(Refusal::BadRequest)
}
