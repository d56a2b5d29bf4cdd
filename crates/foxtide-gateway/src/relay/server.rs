//! Tells peers what has changed in the store.

use super::messages::{
    ChangesRequest,
    ChangesResponse, //
};
use crate::dialect::Dialect;
use crate::gateway::Shared;
use crate::store::{
    Changes,
    Record, //
};
use bytes::Bytes;
use foxtide_core::store::StoreIndex;
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

/// How long a peer may take for its question and for reading the answer.
const EXCHANGE_TIME: Duration = Duration::from_secs(3);

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
                        log::debug!(event = "peer.not_answered", peer:% = peer, cause:% = error; "a peer was not answered");
                    }
                };
                executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!(event = "connection.not_accepted", cause:% = error; "no connection of a peer was accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_one<D: Dialect>(shared: &Shared<D>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut frames = frames(stream);
    let late = async {
        Timer::after(EXCHANGE_TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    or(converse(shared, &mut frames), late).await
}

async fn converse<D: Dialect>(shared: &Shared<D>, frames: &mut Frames) -> io::Result<()> {
    let Some(question) = frames.next().await else {
        return Ok(());
    };
    let request = ChangesRequest::decode(question?).map_err(io::Error::other)?;
    let response = answer(shared, request.after.map(StoreIndex::new));
    metrics::counter!("foxtide_relayed_total", "current" => response.is_current.to_string())
        .increment(1);
    let bytes = Bytes::from(response.encode_to_vec());
    frames.send(bytes).await
}

fn answer<D: Dialect>(shared: &Shared<D>, after: Option<StoreIndex>) -> ChangesResponse {
    let state = shared.state.lock();
    if !state.is_store_followed() {
        return ChangesResponse::default();
    }
    let changes = after.map_or(Changes::Forgotten, |after| state.log().changes_after(after));
    match changes {
        Changes::Followed { records, index } => response(records, index, false),
        Changes::Forgotten => {
            let (records, index) = state.log().all();
            response(records, index, true)
        }
    }
}

fn response(records: Vec<Record>, index: StoreIndex, is_everything: bool) -> ChangesResponse {
    ChangesResponse {
        is_current: true,
        is_everything,
        index: index.get(),
        records: records.into_iter().map(Into::into).collect(),
    }
}
