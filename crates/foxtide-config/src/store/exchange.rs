//! A single HTTP exchange with the store, with errors that tell whether it may have run.
//!
//! Each call uses a new connection: on a reused one that the store has closed, a call
//! would count as `Unknown` although it was never executed.

use async_h1::client;
use foxtide_core::store::{
    StoreError,
    StoreResult, //
};
use futures_lite::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    FutureExt, //
};
use http_types::headers::CONTENT_LENGTH;
use http_types::{
    Body,
    Method,
    Request,
    Response,
    Url, //
};
use smol::Timer;
use smol::net::TcpStream;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::task::{
    Context,
    Poll, //
};
use std::time::Duration;

/// Response header with the index to wait on.
const INDEX_HEADER: &str = "x-consul-index";

/// Maximum size of an answer: the memory that an instance has for control.
const ANSWER_MAX_BYTES: u64 = 32 * 1_024 * 1_024;

/// An HTTP call.
#[derive(Debug)]
pub(crate) struct Call {
    /// Purpose of the call, for errors and metrics.
    pub(crate) step: &'static str,
    pub(crate) method: Method,
    /// Percent-encoded path and query.
    pub(crate) target: String,
    pub(crate) body: Vec<u8>,
    /// Timeout of the whole call.
    pub(crate) timeout: Duration,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Index to wait on, if any.
    pub(crate) index: Option<u64>,
    pub(crate) body: Vec<u8>,
}

/// Progress of a call, from which its errors are made.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    step: &'static str,
    peer: SocketAddr,
    written_bytes: Arc<AtomicU64>,
}

impl Progress {
    fn new(step: &'static str, peer: SocketAddr) -> Self {
        Self {
            step,
            peer,
            written_bytes: Arc::default(),
        }
    }

    /// Returns the error of a call without an answer: `Unknown` once a byte was sent.
    fn unanswered(&self, cause: impl Display) -> StoreError {
        let peer = self.peer.to_string();
        let cause = cause.to_string();
        let step = self.step;
        if self.written_bytes.load(Ordering::Relaxed) == 0 {
            return StoreError::NotSent { step, peer, cause };
        }
        StoreError::Unknown { step, peer, cause }
    }

    /// Returns the error of a call with an invalid answer.
    pub(crate) fn unknown(&self, cause: impl Display) -> StoreError {
        StoreError::Unknown {
            step: self.step,
            peer: self.peer.to_string(),
            cause: cause.to_string(),
        }
    }

    /// Returns the error of a call with an unsuccessful status.
    ///
    /// The outcome of a 5xx status is unknown, because the server may have forwarded the
    /// write, and so is that of a 1xx status, which is no final one.
    pub(crate) fn rejected(&self, answer: &Answer) -> StoreError {
        let cause = String::from_utf8_lossy(&answer.body).trim().to_owned();
        if !(200..500).contains(&answer.status) {
            return self.unknown(format!("status {}: {cause}", answer.status));
        }
        StoreError::Rejected {
            step: self.step,
            peer: self.peer.to_string(),
            status: answer.status,
            cause,
        }
    }
}

/// Makes a call and reads the whole answer.
///
/// # Errors
///
/// Fails as [`foxtide_core::store::Store`] specifies.
pub(crate) async fn run(peer: SocketAddr, call: Call) -> (Progress, StoreResult<Answer>) {
    let progress = Progress::new(call.step, peer);
    let timeout = call.timeout;
    let expired = async {
        Timer::after(timeout).await;
        Err(progress.unanswered(format!("no answer within {} ms", timeout.as_millis())))
    };
    let result = exchange(call, &progress).or(expired).await;
    (progress, result)
}

async fn exchange(call: Call, progress: &Progress) -> StoreResult<Answer> {
    let request = request(call, progress)?;
    let stream = TcpStream::connect(progress.peer)
        .await
        .map_err(|error| progress.unanswered(format!("connect: {error}")))?;
    let stream = CountingStream {
        stream,
        written_bytes: Arc::clone(&progress.written_bytes),
    };
    let response = client::connect(stream, request)
        .await
        .map_err(|error| progress.unanswered(error))?;
    read_whole(response, progress).await
}

fn request(call: Call, progress: &Progress) -> StoreResult<Request> {
    let url = Url::parse(&format!("http://{}{}", progress.peer, call.target))
        .map_err(|error| progress.unanswered(format!("{}: {error}", call.target)))?;
    let mut request = Request::new(call.method, url);
    request.insert_header("connection", "close");
    request.set_body(Body::from_bytes(call.body));
    Ok(request)
}

/// Reads the body and checks its length: the library reports no error if the connection
/// closes early.
async fn read_whole(mut response: Response, progress: &Progress) -> StoreResult<Answer> {
    let stated_bytes = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.as_str().parse::<usize>().ok());
    let index = response
        .header(INDEX_HEADER)
        .and_then(|values| values.as_str().parse::<u64>().ok());
    let mut body = Vec::new();
    let mut reader = response.take_body().take(ANSWER_MAX_BYTES + 1);
    let read = reader.read_to_end(&mut body).await;
    read.map_err(|error| progress.unanswered(format!("read answer: {error}")))?;
    if body.len() as u64 > ANSWER_MAX_BYTES {
        let cause = format!("answer exceeds {ANSWER_MAX_BYTES} bytes");
        return Err(progress.unanswered(cause));
    }
    if stated_bytes.is_some_and(|stated| stated != body.len()) {
        let cause = format!("answer cut off after {} bytes", body.len());
        return Err(progress.unanswered(cause));
    }
    Ok(Answer {
        status: response.status().into(),
        index,
        body,
    })
}

/// A connection that counts written bytes.
#[derive(Clone, Debug)]
struct CountingStream {
    stream: TcpStream,
    written_bytes: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = written {
            self.written_bytes
                .fetch_add(bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
