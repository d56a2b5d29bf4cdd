//! Reads and answers the requests of one connection.

use super::shared::Shared;
use super::{
    Availability,
    text, //
};
use http_types::headers::CONNECTION;
use http_types::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use smol::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};
use smol::net::TcpStream;
use std::future::Future;
use std::net::{
    IpAddr,
    SocketAddr, //
};

/// A received request.
pub(crate) struct Call {
    /// The request without its body.
    pub(crate) request: Request,
    /// The complete body.
    pub(crate) body: Vec<u8>,
    /// The caller's address.
    pub(crate) caller: SocketAddr,
    /// The connection, to detect that the caller disconnects.
    pub(crate) stream: TcpStream,
}

impl Call {
    /// Returns the last value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let values = self.request.header(name)?;
        Some(values.last().as_str().to_owned())
    }

    /// Returns a query parameter; one without a value is empty.
    pub(crate) fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        let pair = pairs.find(|(key, _)| key == name)?;
        Some(pair.1.into_owned())
    }
}

/// The reaction to a request.
pub(crate) enum Reply {
    /// Sends a complete answer.
    Whole(Box<Response>),
    /// Sends these bytes unchanged, then closes the connection if `close` is set.
    Raw { bytes: Vec<u8>, close: bool },
    /// Sends nothing and keeps the connection open.
    Silence,
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    /// Returns a reply that sends a complete answer.
    pub(crate) fn whole(response: Response) -> Self {
        Self::Whole(Box::new(response))
    }
}

/// Handles the connections and requests of a server.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Returns whether a new connection is accepted.
    fn accepts(&self, _caller: IpAddr, _open_connections: usize) -> bool {
        true
    }

    /// Returns bytes to send on a new connection before any request.
    fn greeting(&self) -> Option<Vec<u8>> {
        None
    }

    /// Answers a request.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}

/// Whether a connection serves a further request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

/// Serves a connection until either side closes it.
pub(crate) async fn serve<E: Endpoint>(
    shared: &Shared<E>,
    mut stream: TcpStream,
    caller: SocketAddr,
) {
    if let Some(bytes) = shared.endpoint.greeting()
        && stream.write_all(&bytes).await.is_err()
    {
        return;
    }
    while let Ok(Next::Continue) = serve_one(shared, &mut stream, caller).await {}
}

async fn serve_one<E: Endpoint>(
    shared: &Shared<E>,
    stream: &mut TcpStream,
    caller: SocketAddr,
) -> http_types::Result<Next> {
    let Some((mut request, _)) = async_h1::server::decode(stream.clone()).await? else {
        return Ok(Next::Close);
    };
    let method = request.method();
    let close = wants_close(&request);
    let body = request.body_bytes().await?;
    let call = Call {
        request,
        body,
        caller,
        stream: stream.clone(),
    };
    let reply = match shared.availability() {
        Availability::Silent => Reply::Silence,
        Availability::Failing => Reply::whole(text(StatusCode::InternalServerError, "outage")),
        Availability::Serving | Availability::Refusing => shared.endpoint.answer(call).await,
    };
    // The server may have become silent while the answer was prepared.
    if shared.availability() == Availability::Silent {
        return send(stream, method, Reply::Silence, close).await;
    }
    send(stream, method, reply, close).await
}

async fn send(
    stream: &mut TcpStream,
    method: Method,
    reply: Reply,
    close: bool,
) -> http_types::Result<Next> {
    let (bytes, close) = match reply {
        Reply::Whole(response) => (encode(*response, method).await?, close),
        Reply::Raw {
            bytes,
            close: ending,
        } => (bytes, close || ending),
        Reply::Silence => return std::future::pending().await,
        Reply::Close => return Ok(Next::Close),
    };
    stream.write_all(&bytes).await?;
    Ok(if close { Next::Close } else { Next::Continue })
}

/// Encodes an answer as HTTP/1.1.
pub(crate) async fn encode(response: Response, method: Method) -> http_types::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut encoder = async_h1::server::Encoder::new(response, method);
    encoder.read_to_end(&mut bytes).await?;
    Ok(bytes)
}

fn wants_close(request: &Request) -> bool {
    let header = request.header(CONNECTION);
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}
