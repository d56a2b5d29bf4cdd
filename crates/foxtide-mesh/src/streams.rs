//! Request and response exchanges with peers over TCP.

use crate::errors::{
    Error,
    Result, //
};
use crate::shared::Shared;
use crate::traffic::Rejection;
use crate::wire::{
    Request,
    Response,
    request,
    response, //
};
use crate::{
    calls,
    documents,
    join, //
};
use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use prost::Message as _;
use smol::net::{
    TcpListener,
    TcpStream, //
};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Weak, //
};
use std::time::Duration;
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};
use tokio_util::compat::{
    Compat,
    FuturesAsyncReadCompatExt, //
};

/// Maximum size of a message; must exceed the largest document.
const FRAME_MAX_BYTES: usize = 2 * 1_024 * 1_024;

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a failed accept, to avoid a busy loop on a broken socket.
const ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// A TCP stream with length-delimited messages.
type FramedStream = Framed<Compat<TcpStream>, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> FramedStream {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec();
    Framed::new(stream.compat(), codec)
}

/// Waits for `future` for at most `timeout`.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timer = async {
        smol::Timer::after(timeout).await;
        Err(Error::timed_out())
    };
    smol::future::or(future, timer).await
}

/// Sends a request to a peer and returns the body of its response.
///
/// # Errors
///
/// Fails with [`Error::Connect`] if nothing was sent, with [`Error::Exchange`] if
/// no response arrived, and with [`Error::InvalidResponse`] if it is invalid.
pub(crate) async fn send_request(
    shared: &Shared,
    peer: SocketAddr,
    body: request::Body,
    timeout: Duration,
) -> Result<response::Body> {
    if !shared.options.faults.is_reachable(shared.address, peer) {
        return Err(Error::connect(peer, Error::timed_out()));
    }
    let connect_timeout = timeout.min(shared.options.connect_timeout);
    let stream = with_timeout(connect_timeout, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|source| Error::connect(peer, source))?;
    // Nagle's algorithm would delay small requests.
    let _ = stream.set_nodelay(true);
    let request = Request {
        header: Some(shared.header()),
        body: Some(body),
    };
    let mut frames = framed(stream);
    let exchange = round_trip(shared, &mut frames, &request);
    let response = with_timeout(timeout, exchange).await;
    let response = response.map_err(|source| Error::exchange(peer, source))?;
    let header = response.header.ok_or(Error::invalid(peer, "no header"))?;
    let checked = shared.state.lock().validator.check(&header);
    checked.map_err(|rejection| {
        shared.reject(peer, rejection);
        Error::invalid(peer, rejection.name())
    })?;
    shared.observe_clock(&header);
    response.body.ok_or(Error::invalid(peer, "no body"))
}

async fn round_trip(
    shared: &Shared,
    frames: &mut FramedStream,
    request: &Request,
) -> io::Result<Response> {
    let bytes = request.encode_to_vec();
    shared.traffic.sent_stream(bytes.len() as u64);
    frames.send(Bytes::from(bytes)).await?;
    let bytes = frames.next().await;
    let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)??;
    shared.traffic.received_stream(bytes.len() as u64);
    Ok(Response::decode(bytes.freeze())?)
}

/// Accepts connections from peers until the task is cancelled.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = Arc::downgrade(&shared);
                smol::spawn(serve(shared, stream, peer)).detach();
            }
            Err(error) => {
                log::debug!("accept failed on {}: {error}", shared.address);
                smol::Timer::after(ERROR_BACKOFF).await;
            }
        }
    }
}

/// Responds to the requests of one connection.
async fn serve(shared: Weak<Shared>, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let mut frames = framed(stream);
    loop {
        let next = with_timeout(IDLE_TIMEOUT, async { Ok(frames.next().await) }).await;
        let Ok(Some(Ok(bytes))) = next else {
            return;
        };
        let Some(shared) = shared.upgrade() else {
            return;
        };
        shared.traffic.received_stream(bytes.len() as u64);
        let response = match decode_request(&shared, &bytes) {
            Ok(request) => handle_request(&shared, request).await,
            Err(rejection) => {
                shared.reject(peer, rejection);
                None
            }
        };
        let response = Response {
            header: Some(shared.header()),
            body: response,
        };
        let bytes = response.encode_to_vec();
        shared.traffic.sent_stream(bytes.len() as u64);
        if frames.send(Bytes::from(bytes)).await.is_err() {
            return;
        }
    }
}

/// Decodes a request and validates its header.
fn decode_request(shared: &Shared, bytes: &[u8]) -> std::result::Result<Request, Rejection> {
    let request = Request::decode(bytes).map_err(|_| Rejection::Malformed)?;
    let header = request.header.as_ref().ok_or(Rejection::Malformed)?;
    shared.state.lock().validator.check(header)?;
    shared.observe_clock(header);
    Ok(request)
}

async fn handle_request(shared: &Arc<Shared>, request: Request) -> Option<response::Body> {
    let sender = request.header?.sender;
    match request.body? {
        request::Body::Synchronise(snapshot) => {
            join::handle_synchronise(shared, &sender, &snapshot)
        }
        request::Body::Fetch(fetch) => documents::handle_fetch(shared, &fetch),
        request::Body::Call(call) => calls::handle_call(shared, &sender, call).await,
    }
}
