//! Takes one whole request off a connection.

use crate::memory::{
    BodyMemory,
    Reserved, //
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

/// How long a body may take to arrive, beyond which its sender has stalled.
const BODY_TIME: Duration = Duration::from_secs(20);

/// When a caller for whose body there is no memory is told to come back.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why there is no request.
#[derive(Debug)]
pub(super) enum NoRequest {
    /// The caller has gone.
    Gone,
    /// The request is refused and the connection cannot be used further.
    Refused(Refusal),
}

/// Reads a head whose first byte has arrived.
///
/// # Errors
///
/// Fails where no proper head came in time.
pub(super) async fn receive_head(
    stream: &mut BufferedStream,
    limits: &CallerLimits,
) -> Result<ForwardedRequest, NoRequest> {
    let limit_bytes = usize::try_from(limits.head.get()).unwrap_or(usize::MAX);
    let reading = read_head(stream, limit_bytes);
    let read = timed(limits.head_time, reading).await?;
    let Some(bytes) = read.map_err(no_request)? else {
        return Err(NoRequest::Gone);
    };
    ForwardedRequest::parse(&bytes).map_err(bad_head)
}

/// Reads the body that belongs to a head, and reserves its memory.
///
/// # Errors
///
/// Fails where no whole body came in time, or where there is no memory for it.
pub(super) async fn receive_body(
    stream: &mut BufferedStream,
    head: &ForwardedRequest,
    limits: &CallerLimits,
    memory: &BodyMemory,
) -> Result<(Vec<u8>, Reserved), NoRequest> {
    let stated_bytes = match head.length {
        BodyLength::Fixed { size_bytes } if size_bytes <= limits.body.get() => size_bytes,
        _ => 0,
    };
    let reserved = reserve(memory, stated_bytes)?;
    let body = read_whole(stream, head, limits).await?;
    if body.len() as u64 == stated_bytes {
        return Ok((body, reserved));
    }
    // In chunks, whose size is known only now.
    let reserved = reserve(memory, body.len() as u64)?;
    Ok((body, reserved))
}

fn reserve(memory: &BodyMemory, size_bytes: u64) -> Result<Reserved, NoRequest> {
    let retry_after = MEMORY_RETRY_AFTER;
    let refused = NoRequest::Refused(Refusal::NotRun { retry_after });
    memory.try_reserve(size_bytes).ok_or(refused)
}

async fn read_whole(
    stream: &mut BufferedStream,
    head: &ForwardedRequest,
    limits: &CallerLimits,
) -> Result<Vec<u8>, NoRequest> {
    let limit_bytes = usize::try_from(limits.body.get()).unwrap_or(usize::MAX);
    if head.length == BodyLength::None {
        return Ok(Vec::new());
    }
    if matches!(head.length, BodyLength::Fixed { size_bytes } if size_bytes > limits.body.get()) {
        return Err(NoRequest::Refused(Refusal::BodyTooLong));
    }
    if head.expects_continue && stream.write_all(CONTINUE).await.is_err() {
        return Err(NoRequest::Gone);
    }
    let reading = read_body(stream, head.length, limit_bytes);
    timed(BODY_TIME, reading).await?.map_err(no_request)
}

async fn timed<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, NoRequest> {
    let late = async {
        Timer::after(limit).await;
        Err(NoRequest::Refused(Refusal::RequestTimeout))
    };
    or(async { Ok(future.await) }, late).await
}

fn no_request(error: MessageError) -> NoRequest {
    match error {
        MessageError::Io(_) | MessageError::Truncated => NoRequest::Gone,
        MessageError::HeadTooLong => NoRequest::Refused(Refusal::HeadTooLong),
        MessageError::BodyTooLong => NoRequest::Refused(Refusal::BodyTooLong),
        MessageError::BadChunk
        | MessageError::TrailingBytes
        | MessageError::UnknownLength
        | MessageError::Head(_) => NoRequest::Refused(Refusal::BadRequest),
    }
}

fn bad_head(_: HeadError) -> NoRequest {
    NoRequest::Refused(Refusal::BadRequest)
}
