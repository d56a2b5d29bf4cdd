//! Serves changes of the store to peers.

use super::copies::{
    PackedCopy,
    SendingCopy,
    encode_parts,
    fit_one_part, //
};
use super::messages::{
    ChangesRequest,
    ChangesResponse,
    RecordMessage, //
};
use super::packing::pack;
use crate::datagram::QuarantineMessage;
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::state::State;
use crate::traffic::TrafficKind;
use bytes::Bytes;
use foxtide_core::records::{
    Record,
    RecordLog,
    fit_relay_limit, //
};
use foxtide_events::{
    EventCode,
    log_event, //
};
use futures_lite::future::or;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use prost::Message;
use smol::Timer;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};
use tokio_util::compat::{
    Compat,
    FuturesAsyncReadCompatExt, //
};

/// The maximum size of a message, which may hold the whole contents of the store. A configuration
/// may be a megabyte, and a thousand registrations are 300 KB.
const FRAME_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// How long a connection may be idle between two queries.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest wait for a change that a client may request.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// How long a client may take to read one part of a response.
const PART_TIMEOUT: Duration = Duration::from_secs(3);

/// The pause after a failed accept, such as with too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A stream of messages.
pub(super) type Frames = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// Returns a stream of length-delimited messages.
pub(super) fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// Accepts connections of peers and serves their queries.
pub(crate) async fn serve_peers<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = Arc::clone(&shared);
                let executor = Arc::clone(&shared.executor);
                let serving = async move {
                    if let Err(error) = serve_connection(&shared, stream).await {
                        log::debug!("failed to serve peer {peer}: {error}");
                    }
                };
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log_event!(EventCode::ListenerFailed, cause:% = error);
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(shared: &Shared<D>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    loop {
        let late = async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        };
        let Some(frame) = or(frames.next(), late).await else {
            return Ok(());
        };
        let request = ChangesRequest::decode(frame?).map_err(io::Error::other)?;
        update_record(shared, &request);
        store_offered_configuration(shared, &request);
        let mut answer = wait_for_answer(shared, &request).await;
        let response = &mut answer.response;
        let unstored = shared.poison.unstored().into_iter();
        response.quarantine = unstored
            .map(|(fingerprint, entry)| QuarantineMessage::new(fingerprint, entry))
            .collect();
        metrics::counter!("foxtide_relayed_total", "current" => response.is_current.to_string())
            .increment(1);
        send(shared, &mut frames, &request, answer).await?;
    }
}

/// The response to a request, with the messages that precede it.
#[derive(Default)]
struct Answer {
    parts: Vec<Bytes>,
    response: ChangesResponse,
    _sending: Option<SendingCopy>,
}

impl Answer {
    /// Returns the answer with a copy of the contents of the store.
    fn with_copy(copy: &PackedCopy, sending: SendingCopy, response: ChangesResponse) -> Self {
        Self {
            parts: copy.parts.clone(),
            response: ChangesResponse {
                is_full: true,
                index: copy.index.get(),
                era: copy.index.era(),
                ..response
            },
            _sending: Some(sending),
        }
    }

    /// Returns the answer with records, in parts if they are large.
    fn with_records(
        records: Vec<Record>,
        request: &ChangesRequest,
        response: ChangesResponse,
    ) -> Self {
        if request.reads_parts && !fit_one_part(&records) {
            return Self {
                parts: encode_parts(records),
                response,
                ..Self::default()
            };
        }
        let records = records.into_iter().map(Into::into).collect();
        Self::from(ChangesResponse {
            records,
            ..response
        })
    }
}

impl From<ChangesResponse> for Answer {
    fn from(response: ChangesResponse) -> Self {
        Self {
            response,
            ..Self::default()
        }
    }
}

async fn send<D: Dialect>(
    shared: &Shared<D>,
    frames: &mut Frames,
    request: &ChangesRequest,
    answer: Answer,
) -> io::Result<()> {
    let kind = if answer.response.is_full {
        TrafficKind::Everything
    } else {
        TrafficKind::Changes
    };
    let last = pack_records(answer.response, request).encode_to_vec();
    for part in answer.parts.into_iter().chain([Bytes::from(last)]) {
        shared.traffic.count(kind, part.len());
        let late = async {
            Timer::after(PART_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        or(frames.send(part), late).await?;
    }
    Ok(())
}

/// Packs the records of a response if the client supports that.
fn pack_records(mut response: ChangesResponse, request: &ChangesRequest) -> ChangesResponse {
    if !request.reads_packed {
        return response;
    }
    match pack(std::mem::take(&mut response.records)) {
        Ok(packed) => response.packed = Some(packed),
        Err(records) => response.records = records,
    }
    response
}

/// Updates the record of the client if the request announces it. An instance that does not
/// follow the store, or is stopping, only removes records.
fn update_record<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) {
    let Some(announcement) = &request.announcement else {
        return;
    };
    let member = match announcement.member(&shared.options.place.instance) {
        Ok(member) => member,
        Err(error) => {
            log::debug!("invalid announcement from a peer: {error}");
            return;
        }
    };
    let mut state = shared.state.lock();
    if request.is_leaving {
        state.registrar_mut().withdraw(&member.instance);
    } else if state.is_store_followed() && !shared.lifecycle.is_stopping() {
        let now = shared.clock.now();
        state.registrar_mut().record_heartbeat(member, now);
    }
}

/// Stores the client's configuration for the follower if it is newer than the one in force;
/// the store may have lost it.
fn store_offered_configuration<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) {
    let Some(configuration) = &request.configuration else {
        return;
    };
    let in_force = shared.state.lock().version();
    if request.version > in_force {
        *shared.offered_configuration.lock() = Some(configuration.clone().into());
    }
}

/// Waits for changes, for at most the time that the client requests.
async fn wait_for_answer<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) -> Answer {
    let wait = Duration::from_millis(request.wait_ms.into()).min(WAIT_MAX);
    let due = async {
        loop {
            let changed = shared.log_changed.listen();
            let answer = answer(shared, request);
            let response = &answer.response;
            let waits = request.waits_for_copy && !shared.lifecycle.is_stopping();
            let has_changes = (!response.is_current && !waits)
                || response.is_too_large
                || response.is_busy
                || response.is_full
                || response.configuration.is_some()
                || !answer.parts.is_empty()
                || !response.records.is_empty();
            if has_changes {
                return answer;
            }
            changed.await;
        }
    };
    let late = async {
        Timer::after(wait).await;
        answer(shared, request)
    };
    or(due, late).await
}

fn answer<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) -> Answer {
    if shared.lifecycle.is_stopping() {
        // The client has to find another peer before this instance's lease ends.
        return Answer::default();
    }
    let state = shared.state.lock();
    let is_current = state.is_store_followed();
    if !is_current && !request.accepts_stale {
        return Answer::default();
    }
    let response = ChangesResponse {
        is_current,
        version: state.version(),
        configuration: configuration_for(&state, request),
        ..ChangesResponse::default()
    };
    let log = state.log();
    let after = request.position().filter(|_| is_current);
    let Some(records) = after.and_then(|after| log.changes_after(after)) else {
        return answer_with_everything(shared, log, request, response);
    };
    if request.fetches_large && !request.reads_parts && !fit_relay_limit(&records) {
        return too_large();
    }
    // A client that is ahead of this log continues from its own index.
    let index = log.index().max(after.unwrap_or_default());
    let response = ChangesResponse {
        index: index.get(),
        era: index.era(),
        ..response
    };
    Answer::with_records(records, request, response)
}

/// Answers with the whole contents of the store.
fn answer_with_everything<D: Dialect>(
    shared: &Shared<D>,
    log: &RecordLog,
    request: &ChangesRequest,
    response: ChangesResponse,
) -> Answer {
    if request.reads_parts {
        let Some(sending) = shared.copies.begin() else {
            return Answer::from(ChangesResponse {
                is_current: response.is_current,
                is_busy: true,
                ..ChangesResponse::default()
            });
        };
        let after = request.position().unwrap_or_default();
        let copy = shared.copies.copy(log, after, shared.clock.now());
        return Answer::with_copy(&copy, sending, response);
    }
    let records = log.all();
    if response.is_current && request.fetches_large && !fit_relay_limit(&records) {
        return too_large();
    }
    let index = log.index().max(request.position().unwrap_or_default());
    let response = ChangesResponse {
        is_full: true,
        index: index.get(),
        era: index.era(),
        ..response
    };
    Answer::with_records(records, request, response)
}

fn too_large() -> Answer {
    Answer::from(ChangesResponse {
        is_current: true,
        is_too_large: true,
        ..ChangesResponse::default()
    })
}

/// Returns the configuration in force if both the client and the store have an older one.
fn configuration_for(state: &State, request: &ChangesRequest) -> Option<RecordMessage> {
    let unstored = state.unstored_configuration()?;
    (request.version < state.version()).then(|| unstored.clone().into())
}
