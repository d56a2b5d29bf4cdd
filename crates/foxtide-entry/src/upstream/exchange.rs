//! Sends a request to an upstream and reads the answer.

use super::failure::{
    Failure,
    FailureKind, //
};
use super::long_body::LongBody;
use super::pool::{
    Freshness,
    Pools,
    UpstreamConnection, //
};
use crate::answer::{
    Answer,
    AnswerBody, //
};
use crate::errors::Step;
use crate::options::{
    Limits,
    size, //
};
use crate::timeout::timeout;
use foxtide_core::choice::StatedRate;
use foxtide_core::outcome::Outcome;
use foxtide_core::time::MonotonicTime;
use foxtide_http::{
    BodyLength,
    BodyReader,
    BufferedStream,
    IdleState,
    MessageError,
    Progress,
    ResponseHead,
    name,
    read_head, //
};
use http_types::headers::{
    HeaderValue,
    Headers, //
};
use http_types::{
    Method,
    StatusCode, //
};
use std::net::SocketAddr;
use std::time::Duration;

const DRAINING: &str = "draining";

const ANSWER_START: &[u8] = b"HTTP/1.";

/// Maximum number of interim answers (1xx) before the final one.
const INTERIM_ANSWERS_MAX: usize = 8;

/// Whether an answer must echo the id of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestIdEcho {
    /// Required if the upstream has echoed a request id before.
    RequiredIfSeen,
    /// Not required, for requests whose answers are interchangeable.
    Optional,
}

/// Encoded request to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamRequest<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    /// Request id.
    pub(crate) request: &'a str,
    /// Whether the answer must echo the request id.
    pub(crate) request_id_echo: RequestIdEcho,
    /// Encoded request.
    pub(crate) bytes: &'a [u8],
    /// Which idle connections may be used.
    pub(crate) freshness: Freshness,
    /// Time limit for connecting and answering.
    pub(crate) time_left: Duration,
}

/// Answer of an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub(crate) answer: Answer,
    /// Connection, if it can be reused.
    pub(crate) connection: Option<UpstreamConnection>,
}

/// Sends a request and reads the answer.
///
/// Dropping the future closes the connection, which cancels the request at the
/// upstream.
///
/// # Errors
///
/// Returns an error if no complete answer to this request arrives in time.
pub(crate) async fn exchange(
    pools: &Pools,
    limits: &Limits,
    request: &UpstreamRequest<'_>,
    now: MonotonicTime,
) -> Result<UpstreamAnswer, Failure> {
    let mut connection = open(pools, request, now).await?;
    connection.carried.record(request.request);
    let before_bytes = connection.stream.sent_bytes();
    let exchange = send_and_read(&mut connection.stream, pools, limits, request);
    let answer = timeout(request.time_left, exchange).await;
    let answer = answer.unwrap_or(Err(FailureKind::TimedOut));
    let sent_bytes = connection.stream.sent_bytes() - before_bytes;
    let answer = answer.map_err(|kind| request.failure(sent_bytes, kind))?;
    if states_not_run(answer.head.status, &answer.head.head.headers) {
        connection.carried.record_rejected(request.request);
    }
    Ok(answer.into_answer(connection, limits))
}

/// Head of an answer and what was read of its body.
struct RawAnswer {
    head: ResponseHead,
    body: ReadBody,
}

enum ReadBody {
    /// Complete body.
    Whole(Vec<u8>),
    /// No body.
    Absent,
    /// First part of the body; the reader continues.
    Partial(BodyReader, Vec<u8>),
}

impl RawAnswer {
    /// Returns whether this is a rejection without a request id. If it arrived
    /// again on its connection, it would pass for that of the next request.
    fn is_unidentified_rejection(&self) -> bool {
        let headers = &self.head.head.headers;
        states_not_run(self.head.status, headers) && headers.get(name::REQUEST_ID).is_none()
    }

    fn into_answer(self, connection: UpstreamConnection, limits: &Limits) -> UpstreamAnswer {
        let length = self.head.head.length;
        // Bytes that arrive later are detected when the connection is reused.
        let reusable = !self.head.head.close
            && !self.is_unidentified_rejection()
            && !connection.carried.is_full()
            && connection.stream.buffered().is_empty();
        let (body, connection) = match self.body {
            ReadBody::Whole(bytes) => (AnswerBody::Whole(bytes), reusable.then_some(connection)),
            ReadBody::Absent => {
                let body = AnswerBody::Absent { stated: length };
                (body, reusable.then_some(connection))
            }
            ReadBody::Partial(reader, piece) => {
                let body =
                    LongBody::new(connection.stream, reader, length, piece, limits.body_time);
                (AnswerBody::Long(Box::new(body)), None)
            }
        };
        let answer = Answer {
            status: self.head.status,
            headers: self.head.head.headers,
            body,
        };
        UpstreamAnswer { answer, connection }
    }
}

impl UpstreamRequest<'_> {
    fn failure(&self, sent_bytes: u64, kind: FailureKind) -> Failure {
        let whole = sent_bytes == self.bytes.len() as u64;
        Failure {
            step: if whole {
                Step::ReadAnswer
            } else {
                Step::SendRequest
            },
            peer: self.address,
            sent_bytes,
            kind,
        }
    }
}

/// Takes an idle connection or opens a new one.
async fn open(
    pools: &Pools,
    request: &UpstreamRequest<'_>,
    now: MonotonicTime,
) -> Result<UpstreamConnection, Failure> {
    let pooled = pools.take(request.address, request.request, request.freshness, now);
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let unsent = |kind| Failure {
        step: Step::Connect,
        peer: request.address,
        sent_bytes: 0,
        kind,
    };
    let stream = connect(pools, request).await.map_err(unsent)?;
    match stream.idle_state() {
        IdleState::Idle => Ok(stream.into()),
        // Bytes before the request cannot belong to its answer.
        IdleState::Readable => Err(unsent(FailureKind::OtherRequest)),
    }
}

async fn connect(
    pools: &Pools,
    request: &UpstreamRequest<'_>,
) -> Result<BufferedStream, FailureKind> {
    let limit = pools.options().connect_time.min(request.time_left);
    let source = pools.options().source;
    let connected = timeout(limit, BufferedStream::connect(request.address, source)).await;
    match connected {
        Ok(connected) => Ok(connected?),
        Err(_) => Err(FailureKind::TimedOut),
    }
}

async fn send_and_read(
    stream: &mut BufferedStream,
    pools: &Pools,
    limits: &Limits,
    request: &UpstreamRequest<'_>,
) -> Result<RawAnswer, FailureKind> {
    stream.write_all(request.bytes).await?;
    read_answer(stream, pools, limits, request).await
}

async fn read_answer(
    stream: &mut BufferedStream,
    pools: &Pools,
    limits: &Limits,
    request: &UpstreamRequest<'_>,
) -> Result<RawAnswer, FailureKind> {
    let head = read_final_head(stream, limits).await?;
    check_request_id(&head, pools, request)?;
    let length = head.body_length(request.method);
    if length == BodyLength::None {
        let body = ReadBody::Absent;
        return Ok(RawAnswer { head, body });
    }
    let body = read_answer_body(stream, length, limits).await?;
    Ok(RawAnswer { head, body })
}

/// Reads a complete body, or the first part of one that exceeds the buffer.
async fn read_answer_body(
    stream: &mut BufferedStream,
    length: BodyLength,
    limits: &Limits,
) -> Result<ReadBody, MessageError> {
    let buffer_bytes = size(limits.answer_buffer);
    let mut reader = BodyReader::new(length)?;
    let mut body = Vec::new();
    if matches!(length, BodyLength::Fixed { size_bytes } if size_bytes > buffer_bytes as u64) {
        return Ok(ReadBody::Partial(reader, body));
    }
    while reader.read_some(stream, &mut body).await? == Progress::More {
        if body.len() > buffer_bytes {
            return Ok(ReadBody::Partial(reader, body));
        }
    }
    if has_trailing_bytes(stream.buffered()) {
        return Err(MessageError::TrailingBytes);
    }
    Ok(ReadBody::Whole(body))
}

/// Returns whether the bytes after an answer do not start another one: the
/// stated length was too short, so the answer is truncated.
fn has_trailing_bytes(rest: &[u8]) -> bool {
    let compared = rest.len().min(ANSWER_START.len());
    rest[..compared] != ANSWER_START[..compared]
}

async fn read_final_head(
    stream: &mut BufferedStream,
    limits: &Limits,
) -> Result<ResponseHead, FailureKind> {
    let limit_bytes = size(limits.head);
    for _ in 0..INTERIM_ANSWERS_MAX {
        let bytes = read_head(stream, limit_bytes).await?;
        let bytes = bytes.ok_or(FailureKind::Closed)?;
        let head = ResponseHead::parse(&bytes).map_err(MessageError::from)?;
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err(FailureKind::Closed)
}

/// Checks that an answer belongs to the request, by the request id that it
/// echoes.
///
/// # Errors
///
/// Returns an error if the answer echoes another id, or none although required:
/// it is late, early or a duplicate.
fn check_request_id(
    head: &ResponseHead,
    pools: &Pools,
    request: &UpstreamRequest<'_>,
) -> Result<(), FailureKind> {
    let echoed = head.head.headers.get(name::REQUEST_ID);
    let expected = request.request_id_echo == RequestIdEcho::RequiredIfSeen
        && pools.echoes_request_id(request.address);
    match echoed.map(|echoed| echoed.as_str() == request.request) {
        Some(false) => Err(FailureKind::OtherRequest),
        None if expected => Err(FailureKind::OtherRequest),
        None => Ok(()),
        Some(true) => {
            if !expected {
                pools.mark_echoes_request_id(request.address);
            }
            Ok(())
        }
    }
}

/// Returns what the headers of an answer state on the upstream's rate.
pub(crate) fn stated_rate(headers: &Headers) -> StatedRate {
    let Some(values) = headers.get(name::RATE_LIMIT) else {
        return StatedRate::NoLimit;
    };
    let rate = values.as_str().parse().ok();
    let rate = rate.filter(|_| values.iter().count() == 1);
    if rate.is_none() {
        metrics::counter!("foxtide_statements_unreadable_total", "statement" => "rate_limit")
            .increment(1);
    }
    rate.map_or(StatedRate::Unreadable, StatedRate::Limit)
}

/// Returns whether an answer states that the upstream has not executed the
/// request and will not.
///
/// Repeated headers must agree; with any other status the request may have run.
pub(crate) fn states_not_run(status: StatusCode, headers: &Headers) -> bool {
    let outcomes = headers.get(name::OUTCOME);
    let is_not_run = |outcome: &HeaderValue| outcome.as_str() == Outcome::NotRun.as_str();
    status == StatusCode::ServiceUnavailable
        && outcomes.is_some_and(|outcomes| outcomes.iter().all(is_not_run))
}

/// Returns whether the headers of an answer announce that the upstream is
/// draining.
pub(crate) fn announces_drain(headers: &Headers) -> bool {
    let state = headers.get(name::UPSTREAM_STATE);
    state.is_some_and(|state| state.as_str() == DRAINING)
}
