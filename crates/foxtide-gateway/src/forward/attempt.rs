//! One sending of a request to one upstream.

use super::request::CallerRequest;
use crate::dialect::{
    CallerIdentity,
    Dialect,
    RequestAddress,
    UpstreamFacts, //
};
use crate::outcome::AttemptEnd;
use crate::shared::Shared;
use foxtide_core::ids::UpstreamId;
use foxtide_core::placement::{
    AttemptResult,
    LoadReport, //
};
use foxtide_core::registry::Registration;
use foxtide_http::{
    BufferedStream,
    MessageError,
    WholeResponse,
    read_response, //
};
use futures_lite::future::or;
use smol::Timer;
use std::io;
use std::time::{
    Duration,
    Instant, //
};

/// The longest response that is held; responses are held whole so that a cut
/// one is never passed on.
const RESPONSE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// How long a connection within the region may take to be made. A round trip is
/// 2 ms; a lost packet is sent again after a second only, which is too late.
const CONNECT_TIME_NEAR: Duration = Duration::from_millis(120);

/// How long a connection to another region may take: three of the longest round
/// trips that deployments have (110 ms).
const CONNECT_TIME_FAR: Duration = Duration::from_millis(350);

/// When it is looked once more: a process that ends closes what it has one after the other,
/// and with many connections it does so for some milliseconds.
const CHECK_AGAIN_AFTER: Duration = Duration::from_millis(20);

/// How long sent bytes may stay unacknowledged before the upstream counts as
/// unreachable.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1_000);

/// How long a response is waited for beyond the limit that the upstream was
/// given: its own word that time is up arrives then.
const LIMIT_MARGIN: Duration = Duration::from_millis(100);

/// The most responses to other requests that are passed over on a connection.
const STRAY_RESPONSES_MAX: usize = 4;

/// What the attempt tells besides its end.
#[derive(Debug)]
pub(super) struct AttemptReport {
    /// How it ended.
    pub(super) end: AttemptEnd,
    /// What it tells of the upstream's health.
    pub(super) result: AttemptResult,
    /// The load that the upstream told.
    pub(super) load: Option<LoadReport>,
    /// Whether the upstream has ended while it worked on the request.
    pub(super) has_ended: bool,
}

impl AttemptReport {
    fn new(end: AttemptEnd, result: AttemptResult) -> Self {
        Self {
            end,
            result,
            load: None,
            has_ended: false,
        }
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
    ends_at: Instant,
) -> AttemptReport {
    let started = Instant::now();
    let opened = open(shared, registration, is_idempotent, ends_at).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => {
            let cause = format!("connect: {error}");
            return AttemptReport::new(AttemptEnd::NotSent { cause }, AttemptResult::Unreachable);
        }
    };
    let time_left = ends_at.saturating_duration_since(Instant::now());
    let mut head = request.head.clone();
    let address = RequestAddress {
        upstream: &registration.upstream,
        time_left,
        caller,
    };
    shared.dialect.address_request(&mut head.lines, &address);
    let bytes = head.encode(&request.body);
    let sent_before = stream.sent_bytes();
    let conversed = converse(shared, &mut stream, request, &registration.upstream, &bytes);
    let timed = async {
        Timer::at(ends_at + LIMIT_MARGIN).await;
        None
    };
    let conversed = or(async { Some(conversed.await) }, timed).await;
    let is_sent = stream.sent_bytes() > sent_before;
    match conversed {
        Some(Ok((response, facts))) => {
            let latency = started.elapsed();
            judge(shared, registration, stream, response, &facts, latency)
        }
        Some(Err(error)) => {
            if is_silence(&error) {
                shared.pool.forget(&registration.upstream);
            }
            let has_ended = is_sent && is_closed(&error) && is_gone(shared, registration).await;
            AttemptReport {
                has_ended,
                ..broken(&error, is_sent)
            }
        }
        None => {
            shared.pool.forget(&registration.upstream);
            AttemptReport::new(AttemptEnd::TimedOut, AttemptResult::Faulty)
        }
    }
}

async fn open<D: Dialect>(
    shared: &Shared<D>,
    registration: &Registration,
    is_idempotent: bool,
    ends_at: Instant,
) -> io::Result<BufferedStream> {
    let now = shared.clock.now();
    if let Some(stream) = shared.pool.take(registration, is_idempotent, now) {
        return Ok(stream);
    }
    metrics::counter!("foxtide_upstream_connections_total").increment(1);
    let limit = ends_at.min(Instant::now() + connect_time(shared, registration));
    let timed = async {
        Timer::at(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let connected = or(BufferedStream::connect(registration.address, None), timed).await;
    let stream = connected?;
    if let Err(error) = stream.set_user_timeout(UNACKNOWLEDGED_TIME) {
        log::debug!("the system does not limit unacknowledged data: {error}");
    }
    Ok(stream)
}

/// Returns how long a connection to an upstream may take to be made, or to be refused.
fn connect_time<D>(shared: &Shared<D>, registration: &Registration) -> Duration {
    connect_time_within(registration.region == shared.options.place.region)
}

fn connect_time_within(is_own_region: bool) -> Duration {
    if is_own_region {
        CONNECT_TIME_NEAR
    } else {
        CONNECT_TIME_FAR
    }
}

/// Writes the request and reads until the response that names it.
async fn converse<D: Dialect>(
    shared: &Shared<D>,
    stream: &mut BufferedStream,
    request: &CallerRequest,
    upstream: &UpstreamId,
    bytes: &[u8],
) -> Result<(WholeResponse, UpstreamFacts), MessageError> {
    // An upstream may respond and close before it has read the whole request.
    let written = stream.write_all(bytes).await;
    for _ in 0..STRAY_RESPONSES_MAX {
        let read = read_response(stream, &request.head.method, RESPONSE_MAX_BYTES).await;
        let mut response = read.map_err(|error| match &written {
            Err(unwritten) => MessageError::Io(unwritten.kind().into()),
            Ok(()) => error,
        })?;
        response.head.close |= written.is_err();
        let facts = shared.dialect.upstream_facts(&response.head);
        if facts.request_id.is_some() && facts.request_id == request.facts.request_id {
            return Ok((response, facts));
        }
        if request.facts.request_id.is_none() && facts.is_not_run {
            return Ok((response, facts));
        }
        shared.journal.stray_response(request.id(), upstream);
    }
    Err(MessageError::TrailingBytes)
}

/// Tells whether a connection failed since what was sent stayed unacknowledged.
fn is_silence(error: &MessageError) -> bool {
    matches!(error, MessageError::Io(error) if error.kind() == io::ErrorKind::TimedOut)
}

/// Tells whether the upstream has closed the connection in place of a whole response.
fn is_closed(error: &MessageError) -> bool {
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

/// Tells whether nobody takes connections at an upstream's address any more. An upstream
/// that lost one answer, or forgot an idle connection, does.
async fn is_gone<D>(shared: &Shared<D>, registration: &Registration) -> bool {
    let is_refused = || async {
        let late = async {
            Timer::after(connect_time(shared, registration)).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let connected = or(BufferedStream::connect(registration.address, None), late).await;
        matches!(connected, Err(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    };
    if is_refused().await {
        return true;
    }
    Timer::after(CHECK_AGAIN_AFTER).await;
    is_refused().await
}

fn broken(error: &MessageError, is_sent: bool) -> AttemptReport {
    let cause = error.to_string();
    if is_sent {
        AttemptReport::new(AttemptEnd::Unknown { cause }, AttemptResult::Faulty)
    } else {
        AttemptReport::new(AttemptEnd::NotSent { cause }, AttemptResult::Unreachable)
    }
}

/// Says what a whole response means, and keeps the connection where it can
/// carry another request.
fn judge<D: Dialect>(
    shared: &Shared<D>,
    registration: &Registration,
    stream: BufferedStream,
    response: WholeResponse,
    facts: &UpstreamFacts,
    latency: Duration,
) -> AttemptReport {
    if response.keeps_connection() && stream.buffered().is_empty() {
        let keep_alive = response.head.keep_alive;
        let connections_max = shared
            .state
            .lock()
            .idle_connections_max(&registration.service);
        let now = shared.clock.now();
        shared
            .pool
            .put(registration, stream, keep_alive, connections_max, now);
    }
    let (end, result) = meaning(response, facts, latency);
    AttemptReport {
        end,
        result,
        load: facts.load,
        has_ended: false,
    }
}

fn meaning(
    response: WholeResponse,
    facts: &UpstreamFacts,
    latency: Duration,
) -> (AttemptEnd, AttemptResult) {
    if facts.is_not_run {
        let is_other_incarnation = facts.is_other_incarnation;
        let end = AttemptEnd::NotRun {
            is_other_incarnation,
        };
        return (end, AttemptResult::Full);
    }
    let is_success = (200..300).contains(&response.head.status);
    if facts.is_encoded || (is_success && !facts.is_signed) {
        let cause = "the response is not the upstream's own".to_owned();
        return (AttemptEnd::Unknown { cause }, AttemptResult::Faulty);
    }
    let result = if response.head.status >= 500 {
        AttemptResult::Faulty
    } else {
        AttemptResult::Answered { latency }
    };
    (AttemptEnd::Responded(Box::new(response)), result)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against ends of upstreams in other regions that are taken for broken
    /// connections, since the refusal of a new one comes after the check has given up.
    #[test]
    fn verify_the_refusal_of_a_far_upstream_is_waited_for() {
        let longest_round_trip = Duration::from_millis(110);
        assert!(connect_time_within(false) >= 2 * longest_round_trip);
    }
}
