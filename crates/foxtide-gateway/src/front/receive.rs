//! Takes one whole request off a connection.

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

/// Reads the body that belongs to a head.
///
/// # Errors
///
/// Fails where no whole body came in time.
pub(super) async fn receive_body(
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
        | MessageError::Surplus
        | MessageError::NoStatedEnd
        | MessageError::Head(_) => NoRequest::Refused(Refusal::BadRequest),
    }
}

fn bad_head(_: HeadError) -> NoRequest {
    NoRequest::Refused(Refusal::BadRequest)
}
