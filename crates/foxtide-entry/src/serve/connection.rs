//! The life of one connection: request after request, answer after answer.

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

/// How much of a refused request is still read, so that its sender reads the
/// answer before the connection is reset.
const DISCARD_MAX_BYTES: usize = 256 * 1_024;
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// Answers whole requests.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: ReceivedRequest) -> impl Future<Output = Answer> + Send;

    /// Records that a caller went away before its answer came.
    fn caller_gone(&self, caller: SocketAddr);

    /// Records a request that foxtide does not take and returns its identity.
    fn bad_request(&self, caller: SocketAddr, refusal: &Refusal) -> RequestId;
}

/// A connection with what it shares with the others of its listener.
#[derive(Debug)]
pub(crate) struct Connection {
    /// The socket.
    pub(crate) stream: BufferedStream,
    /// The other end.
    pub(crate) peer: SocketAddr,
    /// What it may use up.
    pub(crate) limits: Arc<Limits>,
    /// What all connections share.
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
        // Boxed, so that a connection takes the memory of a request only while
        // there is one.
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
            // A request that came at this very moment is still served.
            _ if self.stream.idle_state() == IdleState::Readable => self.last_fill().await,
            _ => Next::Close,
        }
    }

    async fn last_fill(&mut self) -> Next {
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
        let gone = async {
            self.stream.closed_by_peer().await;
            None
        };
        // Where the caller is gone the work for it is dropped.
        let Some(mut answer) = or(answered, gone).await else {
            handler.caller_gone(self.peer);
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
            Some(body) if sent == Next::Request => self.send_long(*body).await,
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

    /// Passes a long body on. Where it breaks the connection is closed short of
    /// the length that the head states, or of the last chunk, so that the
    /// caller knows (RFC 9112, section 8).
    async fn send_long(&mut self, mut body: LongBody) -> Next {
        loop {
            match body.next().await {
                Ok(None) => return Next::Request,
                Ok(Some(piece)) => {
                    if self.send_bytes(&piece).await == Next::Close {
                        return Next::Close;
                    }
                }
                Err(error) => {
                    log::debug!("a long answer to {} broke: {error}", self.peer);
                    return Next::Close;
                }
            }
        }
    }

    async fn refuse(&mut self, handler: &impl Handler, refusal: &Refusal) {
        let request = handler.bad_request(self.peer, refusal);
        let mut answer = refusal.answer(request.as_str());
        answer.close();
        if self.send(answer, Method::Get).await == Next::Request {
            self.stream.shutdown_write();
            let discarded = self.stream.discard(DISCARD_MAX_BYTES);
            let _ = timeout(DISCARD_TIME, discarded).await;
        }
    }
}
