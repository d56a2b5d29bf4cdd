//! Serves changes of the store to peers.

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
use foxtide_core::records::fit_relay_limit;
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

/// The maximum size of a message, which may hold the whole contents of the store.
const FRAME_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// How long a connection may be idle between two queries.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest wait for a change that a client may request.
const WAIT_MAX: Duration = Duration::from_secs(2);

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
        let mut response = wait_for_answer(shared, &request).await;
        let unstored = shared.poison.unstored().into_iter();
        response.quarantine = unstored
            .map(|(fingerprint, entry)| QuarantineMessage::new(fingerprint, entry))
            .collect();
        let is_full = response.is_full;
        metrics::counter!("foxtide_relayed_total", "current" => response.is_current.to_string())
            .increment(1);
        let bytes = pack_records(response, &request).encode_to_vec();
        let kind = if is_full {
            TrafficKind::Everything
        } else {
            TrafficKind::Changes
        };
        shared.traffic.count(kind, bytes.len());
        frames.send(Bytes::from(bytes)).await?;
    }
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
async fn wait_for_answer<D: Dialect>(
    shared: &Shared<D>,
    request: &ChangesRequest,
) -> ChangesResponse {
    let wait = Duration::from_millis(request.wait_ms.into()).min(WAIT_MAX);
    let due = async {
        loop {
            let changed = shared.log_changed.listen();
            let response = answer(shared, request);
            let has_changes = !response.is_current
                || response.is_too_large
                || response.configuration.is_some()
                || !response.records.is_empty();
            if has_changes {
                return response;
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

fn answer<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) -> ChangesResponse {
    if shared.lifecycle.is_stopping() {
        // The client has to find another peer before this instance's lease ends.
        return ChangesResponse::default();
    }
    let state = shared.state.lock();
    let log = state.log();
    if !state.is_store_followed() {
        return if request.accepts_stale {
            ChangesResponse {
                is_full: true,
                index: log.index().get(),
                era: log.index().era(),
                version: state.version(),
                configuration: configuration_for(&state, request),
                records: log.all().into_iter().map(Into::into).collect(),
                ..ChangesResponse::default()
            }
        } else {
            ChangesResponse::default()
        };
    }
    let after = request.position();
    let changes = after.and_then(|after| log.changes_after(after));
    let is_full = changes.is_none();
    let records = changes.unwrap_or_else(|| log.all());
    if request.fetches_large && !fit_relay_limit(&records) {
        return ChangesResponse {
            is_current: true,
            is_too_large: true,
            ..ChangesResponse::default()
        };
    }
    // A client that is ahead of this log continues from its own index.
    let index = log.index().max(after.unwrap_or_default());
    ChangesResponse {
        is_current: true,
        is_full,
        index: index.get(),
        era: index.era(),
        records: records.into_iter().map(Into::into).collect(),
        is_too_large: false,
        version: state.version(),
        configuration: configuration_for(&state, request),
        ..ChangesResponse::default()
    }
}

/// Returns the configuration in force if both the client and the store have an older one.
fn configuration_for(state: &State, request: &ChangesRequest) -> Option<RecordMessage> {
    let unstored = state.unstored_configuration()?;
    (request.version < state.version()).then(|| unstored.clone().into())
}
