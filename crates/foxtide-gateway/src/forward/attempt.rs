//! Sends a request to one upstream and evaluates the response.

use super::request::CallerRequest;
use super::statements::ResponseObserver;
use crate::dialect::{
    CallerIdentity,
    Dialect,
    ForwardHeaders,
    UpstreamHeaders, //
};
use crate::outcome::AttemptEnd;
use crate::shared::Shared;
use crate::upstream_connection::{
    ConnectionUse,
    UpstreamConnection, //
};
use foxtide_core::placement::{
    AttemptResult,
    LoadReport,
    Slowness, //
};
use foxtide_core::registry::Registration;
use foxtide_http::{
    BufferedStream,
    ForwardedResponse,
    MessageError,
    WholeResponse,
    read_response_observed, //
};
use futures_lite::future::or;
use smol::Timer;
use std::io;
use std::time::{
    Duration,
    Instant, //
};

/// The longest response that is buffered; only whole responses are passed on.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Delay before an ended upstream is checked again: a process with many connections takes
/// milliseconds to close them.
const RECHECK_DELAY: Duration = Duration::from_millis(20);

/// How long a response is awaited past the deadline, when the upstream's own timeout response
/// arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The most responses to other requests that are skipped on a connection.
const STRAY_RESPONSES_MAX: usize = 4;

/// The outcome of an attempt.
#[derive(Debug)]
pub(super) struct AttemptReport {
    pub(super) end: AttemptEnd,
    /// The effect on the upstream's health.
    pub(super) result: AttemptResult,
    /// The load that the upstream reported.
    pub(super) load: Option<LoadReport>,
    /// Whether the upstream process ended while it worked on the request.
    pub(super) has_ended: bool,
    /// The connection that it used.
    pub(super) connection: ConnectionUse,
}

impl AttemptReport {
    fn new(end: AttemptEnd, result: AttemptResult) -> Self {
        Self {
            end,
            result,
            load: None,
            has_ended: false,
            connection: ConnectionUse::default(),
        }
    }

    /// Tells whether there is no response, or only an error of the upstream.
    pub(super) fn is_failure(&self) -> bool {
        !matches!(&self.end, AttemptEnd::Responded(response) if !is_server_error(response))
    }

    /// Returns the slowness that the upstream reported, if any.
    pub(super) fn slowness(&self) -> Option<Slowness> {
        self.load.and_then(|load| load.slowness)
    }
}

/// Sends a request to an upstream and reads the response.
///
/// Dropping the future closes the connection.
pub(super) async fn attempt<D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    caller: &CallerIdentity,
    registration: &Registration,
    is_idempotent: bool,
    deadline: Instant,
) -> AttemptReport {
    let started = Instant::now();
    let opening = open(shared, request, registration, is_idempotent, deadline);
    let ending = async {
        shared.lifecycle.ending().await;
        Err(process_ends())
    };
    let opened = or(opening, ending).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(error) => {
            let cause = format!("connect: {error}");
            return AttemptReport::new(AttemptEnd::NotSent { cause }, AttemptResult::Unreachable);
        }
    };
    // The upstream may have spoken on another connection while this one was opened.
    if shared.state.lock().has_withdrawn(registration) {
        return AttemptReport::new(AttemptEnd::Withdrawn, AttemptResult::Abandoned);
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    let mut head = request.head.clone();
    let values = ForwardHeaders {
        upstream: &registration.upstream,
        time_left,
        caller,
    };
    shared
        .dialect
        .write_forward_headers(&mut head.lines, &values);
    let bytes = head.encode(&request.body);
    let sent_before = connection.stream.sent_bytes();
    let connection_use = connection.begin_request(request.headers.request_id.as_deref());
    let observer = ResponseObserver {
        shared,
        request,
        registration,
        sent_at: shared.clock.now(),
    };
    let exchanged = exchange(&observer, &mut connection.stream, &bytes);
    let timed = async {
        Timer::at(deadline + DEADLINE_MARGIN).await;
        None
    };
    let ending = async {
        shared.lifecycle.ending().await;
        Some(Err(MessageError::Io(process_ends())))
    };
    let exchanged = or(async { Some(exchanged.await) }, or(timed, ending)).await;
    let is_sent = connection.stream.sent_bytes() > sent_before;
    let report = match exchanged {
        Some(Ok(Received { response, headers })) => {
            let latency = started.elapsed();
            evaluate_response(&observer, connection, response, &headers, latency)
        }
        Some(Err(error)) if shared.lifecycle.is_ending() => AttemptReport {
            result: AttemptResult::Abandoned,
            ..failed_report(&error, is_sent)
        },
        Some(Err(error)) => {
            if is_unacknowledged(&error) {
                shared.pool.close_idle(&registration.upstream);
                let now = shared.clock.now();
                shared.reach.record_unreachable(&registration.upstream, now);
            }
            let has_ended =
                is_sent && is_closed_by_upstream(&error) && is_ended(shared, registration).await;
            AttemptReport {
                has_ended,
                ..failed_report(&error, is_sent)
            }
        }
        None => {
            shared.pool.close_idle(&registration.upstream);
            AttemptReport::new(AttemptEnd::TimedOut, AttemptResult::Faulty)
        }
    };
    AttemptReport {
        connection: connection_use,
        ..report
    }
}

async fn open<D: Dialect>(
    shared: &Shared<D>,
    request: &CallerRequest,
    registration: &Registration,
    is_idempotent: bool,
    deadline: Instant,
) -> io::Result<UpstreamConnection> {
    let now = shared.clock.now();
    let request_id = request.headers.request_id.as_deref();
    let pooled = shared
        .pool
        .take(registration, request_id, is_idempotent, now);
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let stream = shared.connect_upstream(registration, deadline).await?;
    Ok(shared.pool.open(stream))
}

/// The response to a request.
struct Received {
    response: WholeResponse,
    headers: UpstreamHeaders,
}

/// Writes the request and reads the response that carries its identity.
async fn exchange<D: Dialect>(
    observer: &ResponseObserver<'_, D>,
    stream: &mut BufferedStream,
    bytes: &[u8],
) -> Result<Received, MessageError> {
    let ResponseObserver {
        shared, request, ..
    } = observer;
    let method = &request.head.method;
    let observe = |head: &ForwardedResponse| observer.record(head);
    // An upstream may respond and close before it has read the whole request.
    let written = stream.write_all(bytes).await;
    for _ in 0..STRAY_RESPONSES_MAX {
        let mut memory = shared.response_memory.reservation();
        let reading =
            read_response_observed(stream, method, RESPONSE_MAX_BYTES, &mut memory, observe);
        let mut response = reading.await.map_err(|error| match &written {
            Err(unwritten) => MessageError::Io(unwritten.kind().into()),
            Ok(()) => error,
        })?;
        response.head.close |= written.is_err();
        let headers = shared.dialect.read_upstream_headers(&response.head);
        let is_own = match &request.headers.request_id {
            Some(_) => headers.request_id == request.headers.request_id,
            None => headers.is_not_run,
        };
        if is_own {
            return Ok(Received { response, headers });
        }
        let upstream = &observer.registration.upstream;
        shared.journal.stray_response(request.id(), upstream);
    }
    Err(MessageError::TrailingBytes)
}

/// Returns the error of an attempt that is cut by the end of a stop.
fn process_ends() -> io::Error {
    io::Error::other("the instance stops")
}

/// Tells whether a connection failed because sent data stayed unacknowledged.
fn is_unacknowledged(error: &MessageError) -> bool {
    matches!(error, MessageError::Io(error) if error.kind() == io::ErrorKind::TimedOut)
}

/// Tells whether the upstream closed the connection before the end of its response.
fn is_closed_by_upstream(error: &MessageError) -> bool {
    match error {
        MessageError::Truncated => true,
        MessageError::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof
        ),
        _ => false,
    }
}

/// Tells whether the upstream has ended, rather than the path to it.
async fn is_ended<D: Dialect>(shared: &Shared<D>, registration: &Registration) -> bool {
    let confirmed = async {
        refuses_connections(shared, registration).await
            && shared.reaches_any_other(registration).await
    };
    let ending = async {
        shared.lifecycle.ending().await;
        false
    };
    or(confirmed, ending).await
}

/// Tells whether the upstream's address refuses connections. An upstream that only closed one
/// connection still accepts others.
async fn refuses_connections<D>(shared: &Shared<D>, registration: &Registration) -> bool {
    let is_refused = || async {
        let late = async {
            Timer::after(shared.connect_timeout(registration)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = or(BufferedStream::connect(registration.address, None), late).await;
        matches!(connected, Err(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    };
    if is_refused().await {
        return true;
    }
    Timer::after(RECHECK_DELAY).await;
    is_refused().await
}

fn failed_report(error: &MessageError, is_sent: bool) -> AttemptReport {
    let cause = error.to_string();
    if is_sent {
        let result = match error {
            // The memory may be taken by the responses of other upstreams.
            MessageError::NoMemory => AttemptResult::Abandoned,
            _ => AttemptResult::Faulty,
        };
        AttemptReport::new(AttemptEnd::Unknown { cause }, result)
    } else {
        AttemptReport::new(AttemptEnd::NotSent { cause }, AttemptResult::Unreachable)
    }
}

/// Classifies a whole response and returns a reusable connection to the pool.
fn evaluate_response<D: Dialect>(
    observer: &ResponseObserver<'_, D>,
    mut connection: UpstreamConnection,
    response: WholeResponse,
    headers: &UpstreamHeaders,
    latency: Duration,
) -> AttemptReport {
    let ResponseObserver {
        shared,
        request,
        registration,
        ..
    } = *observer;
    if is_rejection(&response, headers) {
        connection.record_rejected(request.headers.request_id.as_deref());
    }
    let is_reusable = connection.is_reusable() && connection.stream.buffered().is_empty();
    if response.keeps_connection() && is_reusable {
        let keep_alive = response.head.keep_alive;
        let connections_max = shared
            .state
            .lock()
            .idle_connections_max(&registration.service);
        let now = shared.clock.now();
        shared
            .pool
            .put(registration, connection, keep_alive, connections_max, now);
    }
    if headers.is_not_run && !is_rejection(&response, headers) {
        let upstream = &registration.upstream;
        let journal = &shared.journal;
        journal.statement_unreadable(request.id(), upstream, "not_run");
    }
    let (end, result) = classify_response(response, headers, latency);
    AttemptReport {
        // Another incarnation speaks for itself only.
        load: headers.load.filter(|_| !headers.is_other_incarnation),
        ..AttemptReport::new(end, result)
    }
}

/// Tells whether a response states that the upstream has rejected the request.
///
/// Upstreams reject with a client error or 503 (RFC 9110, sections 15.5 and 15.6.4), and sign what
/// they have run. Any other status, or a signature, contradicts the statement, so that the request
/// may have run.
fn is_rejection(response: &WholeResponse, headers: &UpstreamHeaders) -> bool {
    let is_rejecting_status = matches!(response.head.status, 400..500 | 503);
    headers.is_not_run && is_rejecting_status && !headers.is_signed
}

fn classify_response(
    response: WholeResponse,
    headers: &UpstreamHeaders,
    latency: Duration,
) -> (AttemptEnd, AttemptResult) {
    if is_rejection(&response, headers) {
        let is_other_incarnation = headers.is_other_incarnation;
        let end = AttemptEnd::NotRun {
            status: response.head.status,
            is_other_incarnation,
        };
        return (end, AttemptResult::Full);
    }
    let is_success = (200..300).contains(&response.head.status);
    if headers.is_encoded || (is_success && !headers.is_signed) {
        let cause = "the response is not the upstream's own".to_owned();
        return (AttemptEnd::Unknown { cause }, AttemptResult::Faulty);
    }
    let result = if is_server_error(&response) {
        AttemptResult::Faulty
    } else {
        AttemptResult::Answered { latency }
    };
    (AttemptEnd::Responded(Box::new(response)), result)
}

/// Tells whether an idempotent request with this response is sent again.
pub(super) fn is_server_error(response: &WholeResponse) -> bool {
    response.head.status >= 500
}
