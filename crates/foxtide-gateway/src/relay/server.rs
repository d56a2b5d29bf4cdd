//! Tells peers what has changed in the store.

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

/// The largest message: everything that the store holds. A configuration may
/// be a megabyte, and a thousand registrations are 300 KB.
const FRAME_MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// How long a peer may stay silent between two questions.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// The longest wait for a change that a peer may ask for.
const WAIT_MAX: Duration = Duration::from_secs(2);

/// How long accepting pauses after a failure, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A stream of messages.
pub(super) type Frames = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

/// Frames the messages on a stream.
pub(super) fn frames(stream: TcpStream) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// Answers peers, a question a connection.
pub(crate) async fn serve_peers<D: Dialect>(shared: Arc<Shared<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = Arc::clone(&shared);
                let executor = Arc::clone(&shared.executor);
                let serving = async move {
                    if let Err(error) = serve_one(&shared, stream).await {
                        log::debug!("peer {peer} was not answered: {error}");
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

async fn serve_one<D: Dialect>(shared: &Shared<D>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    loop {
        let late = async {
            Timer::after(IDLE_TIME).await;
            None
        };
        let Some(question) = or(frames.next(), late).await else {
            return Ok(());
        };
        let request = ChangesRequest::decode(question?).map_err(io::Error::other)?;
        take_in_asker(shared, &request);
        take_in_configuration(shared, &request);
        let mut response = answer_when_due(shared, &request).await;
        let unstored = shared.poison.unstored().into_iter();
        response.quarantine = unstored
            .map(|(fingerprint, entry)| QuarantineMessage::new(fingerprint, entry))
            .collect();
        let is_everything = response.is_everything;
        metrics::counter!("foxtide_relayed_total", "current" => response.is_current.to_string())
            .increment(1);
        let bytes = packed(response, &request).encode_to_vec();
        let sent = if is_everything {
            TrafficKind::Everything
        } else {
            TrafficKind::Changes
        };
        shared.traffic.count(sent, bytes.len());
        frames.send(Bytes::from(bytes)).await?;
    }
}

/// Packs the records of a response for an asker that reads them so.
fn packed(mut response: ChangesResponse, request: &ChangesRequest) -> ChangesResponse {
    if !request.reads_packed {
        return response;
    }
    match pack(std::mem::take(&mut response.records)) {
        Ok(packed) => response.packed = Some(packed),
        Err(records) => response.records = records,
    }
    response
}

/// Keeps the asker's record, or removes it, where it asks for that. One that the store
/// does not answer could not, and one that is stopping will not.
fn take_in_asker<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) {
    let Some(announcement) = &request.announcement else {
        return;
    };
    let member = match announcement.member(&shared.options.place.instance) {
        Ok(member) => member,
        Err(error) => {
            log::debug!("what a peer says of itself cannot be read: {error}");
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

/// Keeps a configuration that the asker knows and that is newer than the one in force here,
/// for the follower of the store to take in: the store may have lost it.
fn take_in_configuration<D: Dialect>(shared: &Shared<D>, request: &ChangesRequest) {
    let Some(configuration) = &request.configuration else {
        return;
    };
    let in_force = shared.state.lock().version();
    if request.version > in_force {
        *shared.offered_configuration.lock() = Some(configuration.clone().into());
    }
}

/// Waits until there is something to tell, but no longer than the asker says.
async fn answer_when_due<D: Dialect>(
    shared: &Shared<D>,
    request: &ChangesRequest,
) -> ChangesResponse {
    let wait = Duration::from_millis(request.wait_ms.into()).min(WAIT_MAX);
    let due = async {
        loop {
            let changed = shared.log_changed.listen();
            let response = answer(shared, request);
            let has_news = !response.is_current
                || response.is_large
                || response.configuration.is_some()
                || !response.records.is_empty();
            if has_news {
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
        // The asker is to find another one while this one's lease still lives.
        return ChangesResponse::default();
    }
    let state = shared.state.lock();
    let log = state.log();
    if !state.is_store_followed() {
        return if request.takes_old {
            ChangesResponse {
                is_everything: true,
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
    let is_everything = changes.is_none();
    let records = changes.unwrap_or_else(|| log.all());
    if request.reads_large && !fit_relay_limit(&records) {
        return ChangesResponse {
            is_current: true,
            is_large: true,
            ..ChangesResponse::default()
        };
    }
    // One that knows more than this log goes on from where it is.
    let index = log.index().max(after.unwrap_or_default());
    ChangesResponse {
        is_current: true,
        is_everything,
        index: index.get(),
        era: index.era(),
        records: records.into_iter().map(Into::into).collect(),
        is_large: false,
        version: state.version(),
        configuration: configuration_for(&state, request),
        ..ChangesResponse::default()
    }
}

/// Returns the configuration in force for an asker whose own is older, where the store holds
/// an older one too. Else the asker learns it as it learns everything.
fn configuration_for(state: &State, request: &ChangesRequest) -> Option<RecordMessage> {
    let kept = state.unstored_configuration()?;
    (request.version < state.version()).then(|| kept.clone().into())
}
