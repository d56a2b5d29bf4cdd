//! HTTP client for tests that uses one connection per request.

use http_types::{
    Method,
    Request,
    Url, //
};
use smol::net::TcpStream;
use std::net::SocketAddr;

/// A complete HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&header.1)
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the complete answer.
///
/// # Errors
///
/// Fails if the connection fails or the answer is malformed; the request may
/// still have taken effect.
///
/// # Panics
///
/// Panics if `path` does not form a valid URL.
pub async fn http_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> http_types::Result<HttpAnswer> {
    let url = Url::parse(&format!("http://{address}{path}")).expect("valid path");
    let mut request = Request::new(method, url);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    request.set_body(body);
    let stream = TcpStream::connect(address).await?;
    let mut response = async_h1::connect(stream, request).await?;
    let body = response.body_bytes().await?;
    let headers = response.iter();
    let headers = headers.map(|(name, values)| (name.to_string(), values.last().to_string()));
    Ok(HttpAnswer {
        status: response.status().into(),
        headers: headers.collect(),
        body,
    })
}
