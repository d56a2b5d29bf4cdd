//! Serves the requests of one connection in sequence.

use super::request::{
    ReceiveError,
    ReceivedRequest,
    receive, //
};
use super::state::ListenerState;
use crate::answer::{
    Answer,
    Refusal, //
};
use crate::options::Limits;
use crate::timeout::timeout;
use crate::upstream::LongBody;
use foxtide_core::events::RequestId;
use foxtide_http::{
    BufferedStream,
    IdleState, //
};
use http_types::Method;
use smol::future::or;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Limit on the input that is discarded after a refusal; unread input would
/// reset the connection before the peer reads the answer.
const DISCARD_MAX_BYTES: usize = 256 * 1_024;
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Handles the requests of a listener.
pub(crate) trait Handler: Send + Sync + 'static {
    fn handle(&self, request: ReceivedRequest) -> impl Future<Output = Answer> + Send;

    /// Records that a caller disconnected before its answer.
    fn record_disconnect(&self, caller: SocketAddr);

    /// Records a request that was rejected and returns its new id.
    fn record_rejection(&self, caller: SocketAddr, refusal: &Refusal) -> RequestId;
}

/// Accepted connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) stream: BufferedStream,
    /// Remote address.
    pub(crate) peer: SocketAddr,
    pub(crate) limits: Arc<Limits>,
    /// State shared by the connections of the listener.
    pub(crate) state: Arc<ListenerState>,
}

/// Whether a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Request,
    Close,
}

/// Serves a connection until it closes.
pub(crate) async fn serve_connection(mut connection: Connection, handler: &impl Handler) {
    while connection.await_request().await == Next::Request {
        // Boxed, so that idle connections do not hold memory for a request.
        if Box::pin(connection.serve_one(handler)).await == Next::Close {
            return;
        }
    }
}

impl Connection {
    /// Waits for the first byte of a request.
    async fn await_request(&mut self) -> Next {
        if !self.stream.buffered().is_empty() {
            return Next::Request;
        }
        let arrived = async {
            match self.stream.fill().await {
                Ok(size_bytes) if size_bytes > 0 => Next::Request,
                _ => Next::Close,
            }
        };
        let closing = async {
            self.state.closing().await;
            Next::Close
        };
        let waited = timeout(self.limits.idle_time, or(arrived, closing)).await;
        match waited {
            Ok(Next::Request) => Next::Request,
            // Serves a request that arrived at the same moment.
            _ if self.stream.idle_state() == IdleState::Readable => self.read_pending().await,
            _ => Next::Close,
        }
    }

    async fn read_pending(&mut self) -> Next {
        match self.stream.fill().await {
            Ok(size_bytes) if size_bytes > 0 => Next::Request,
            _ => Next::Close,
        }
    }

    async fn serve_one(&mut self, handler: &impl Handler) -> Next {
        let state = Arc::clone(&self.state);
        let _guard = state.begin_request();
        let received = receive(&mut self.stream, &self.limits, &state, self.peer);
        let mut request = match received.await {
            Ok(request) => request,
            Err(ReceiveError::Disconnected) => return Next::Close,
            Err(ReceiveError::Rejected(refusal)) => {
                self.refuse(handler, &refusal).await;
                return Next::Close;
            }
        };
        let _body_permit = request.body_permit.take();
        let method = request.head.method;
        let close = request.head.head.close;
        let answered = async { Some(handler.handle(request).await) };
        let disconnected = async {
            self.stream.closed_by_peer().await;
            None
        };
        // Drops the work if the caller disconnects.
        let Some(mut answer) = or(answered, disconnected).await else {
            handler.record_disconnect(self.peer);
            return Next::Close;
        };
        let close = close || self.state.is_draining();
        if close {
            answer.close();
        }
        let sent = self.send(answer, method).await;
        if close { Next::Close } else { sent }
    }

    async fn send(&mut self, answer: Answer, method: Method) -> Next {
        let Ok(encoded) = answer.encode(method).await else {
            return Next::Close;
        };
        let sent = self.send_bytes(&encoded.bytes).await;
        match encoded.long_body {
            Some(body) if sent == Next::Request => self.send_streamed(*body).await,
            _ => sent,
        }
    }

    async fn send_bytes(&mut self, bytes: &[u8]) -> Next {
        let written = timeout(self.limits.answer_time, self.stream.write_all(bytes)).await;
        match written {
            Ok(Ok(())) => Next::Request,
            _ => Next::Close,
        }
    }

    /// Streams a body. If it fails, the connection closes before the stated
    /// length or the last chunk, so that the caller detects the truncation (RFC
    /// 9112, section 8).
    async fn send_streamed(&mut self, mut body: LongBody) -> Next {
        loop {
            match body.next().await {
                Ok(None) => return Next::Request,
                Ok(Some(piece)) => {
                    if self.send_bytes(&piece).await == Next::Close {
                        return Next::Close;
                    }
                }
                Err(error) => {
                    log::debug!("streaming an answer to {} failed: {error}", self.peer);
                    return Next::Close;
                }
            }
        }
    }

    async fn refuse(&mut self, handler: &impl Handler, refusal: &Refusal) {
        let request = handler.record_rejection(self.peer, refusal);
        let mut answer = refusal.answer(request.as_str());
        answer.close();
        if self.send(answer, Method::Get).await == Next::Request {
            self.stream.shutdown_write();
            let discarded = self.stream.discard(DISCARD_MAX_BYTES);
            let _ = timeout(DISCARD_TIME, discarded).await;
        }
    }
}
