//! One request for one answer on one connection.

use super::failure::{
    Failure,
    FailureKind, //
};
use super::long_body::LongBody;
use super::pool::{
    Freshness,
    Pools, //
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
use http_types::Method;
use http_types::headers::Headers;
use std::net::SocketAddr;
use std::time::Duration;

const DRAINING: &str = "draining";

const ANSWER_START: &[u8] = b"HTTP/1.";

/// The most interim answers (1xx) before the final one.
const INTERIM_ANSWERS_MAX: usize = 8;

/// Whether an answer must name the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestIdEcho {
    /// Always where the upstream has done so before.
    RequiredIfSeen,
    /// Never; for what harms nobody when it is taken for another's answer.
    Optional,
}

/// A request ready to be sent to an upstream.
#[derive(Debug)]
pub(crate) struct UpstreamRequest<'a> {
    /// The upstream's address.
    pub(crate) address: SocketAddr,
    /// The method.
    pub(crate) method: Method,
    /// The identity of the request.
    pub(crate) request: &'a str,
    /// Whether the answer must name the request.
    pub(crate) request_id_echo: RequestIdEcho,
    /// The bytes to send.
    pub(crate) bytes: &'a [u8],
    /// Which idle connections may carry it.
    pub(crate) freshness: Freshness,
    /// The time left.
    pub(crate) time_left: Duration,
}

/// An upstream's whole answer.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    /// The answer, ready for the caller.
    pub(crate) answer: Answer,
    /// The connection, where it can carry a further request.
    pub(crate) connection: Option<BufferedStream>,
}

/// Sends a request and reads the whole answer.
///
/// Where the returned future is dropped, the connection is closed and the
/// upstream can see that its answer is not wanted any more.
///
/// # Errors
///
/// Fails where no whole answer to this very request came in time.
pub(crate) async fn exchange(
    pools: &Pools,
    limits: &Limits,
    request: &UpstreamRequest<'_>,
    now: MonotonicTime,
) -> Result<UpstreamAnswer, Failure> {
    let mut stream = open(pools, request, now).await?;
    let before_bytes = stream.sent_bytes();
    let exchange = send_and_read(&mut stream, pools, limits, request);
    let answer = timeout(request.time_left, exchange).await;
    let answer = answer.unwrap_or(Err(FailureKind::TimedOut));
    let sent_bytes = stream.sent_bytes() - before_bytes;
    let answer = answer.map_err(|kind| request.failure(sent_bytes, kind))?;
    Ok(answer.into_answer(stream, limits))
}

/// A head and what was read of its body.
struct RawAnswer {
    head: ResponseHead,
    body: ReadBody,
}

enum ReadBody {
    /// All of it.
    Whole(Vec<u8>),
    /// There is none.
    Absent,
    /// The first part; the reader goes on.
    Partial(BodyReader, Vec<u8>),
}

impl RawAnswer {
    fn into_answer(self, stream: BufferedStream, limits: &Limits) -> UpstreamAnswer {
        let length = self.head.head.length;
        // Whether more comes is looked at when the connection is used again.
        let reusable = !self.head.head.close && stream.buffered().is_empty();
        let (body, connection) = match self.body {
            ReadBody::Whole(bytes) => (AnswerBody::Whole(bytes), reusable.then_some(stream)),
            ReadBody::Absent => {
                let body = AnswerBody::Absent { stated: length };
                (body, reusable.then_some(stream))
            }
            ReadBody::Partial(reader, piece) => {
                let body = LongBody::new(stream, reader, length, piece, limits.body_time);
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

/// Returns an idle connection or a new one.
async fn open(
    pools: &Pools,
    request: &UpstreamRequest<'_>,
    now: MonotonicTime,
) -> Result<BufferedStream, Failure> {
    if let Some(stream) = pools.take(request.address, request.freshness, now) {
        return Ok(stream);
    }
    let unsent = |kind| Failure {
        step: Step::Connect,
        peer: request.address,
        sent_bytes: 0,
        kind,
    };
    let stream = connect(pools, request).await.map_err(unsent)?;
    match stream.idle_state() {
        IdleState::Idle => Ok(stream),
        // An answer before the request: whose it is nobody knows.
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

/// Reads a whole body, or the first part of one too long to be held.
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

/// Tells whether what follows an answer is not the beginning of another one:
/// the stated length was too short then, and the answer is not whole.
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

/// Checks that an answer belongs to the request, by the name that it carries.
///
/// # Errors
///
/// Fails where it names another request, or none although the upstream names
/// requests: it came late, early or twice.
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

/// Tells whether an upstream says in its answer that it is leaving.
pub(crate) fn announces_drain(headers: &Headers) -> bool {
    let state = headers.get(name::UPSTREAM_STATE);
    state.is_some_and(|state| state.as_str() == DRAINING)
}
