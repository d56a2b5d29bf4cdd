//! Encodes requests for upstreams.

use crate::request_context::Target;
use crate::serve::ReceivedRequest;
use async_h1::client::Encoder;
use foxtide_core::events::RequestId;
use foxtide_http::name;
use http_types::{
    Body,
    Request, //
};
use smol::io::AsyncReadExt;
use std::io;
use std::time::Duration;

const LINE_END: &[u8] = b"\r\n";

/// Initial capacity for a head; most are shorter.
const HEAD_CAPACITY_BYTES: usize = 1_024;

const VIA: &str = "via";
const VIA_FOXTIDE: &str = "1.1 foxtide";

/// Encoded request that can be sent repeatedly.
#[derive(Debug)]
pub(crate) struct PreparedRequest {
    /// Complete request without the deadline header.
    bytes: Vec<u8>,
    /// Offset of the end of the header lines.
    headers_end: usize,
}

impl PreparedRequest {
    /// Encodes a request for an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub(crate) async fn new(
        received: ReceivedRequest,
        target: &Target,
        id: &RequestId,
    ) -> io::Result<Self> {
        let mut url = received.head.url;
        url.set_path(&target.path);
        let mut request = Request::new(received.head.method, url);
        let mut headers = received.head.head.headers;
        headers.remove(name::DEADLINE_MS);
        headers.insert(name::REQUEST_ID, id.as_str());
        headers.append(VIA, VIA_FOXTIDE);
        let typed = headers.get(name::CONTENT_TYPE).is_some();
        *request.as_mut() = headers;
        let body_bytes = received.body.len();
        request.set_body(Body::from_bytes(received.body));
        if !typed {
            // `set_body` adds a default content type.
            request.remove_header(name::CONTENT_TYPE);
        }
        let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES + body_bytes);
        Encoder::new(request).read_to_end(&mut bytes).await?;
        let headers_end = bytes.len() - body_bytes - LINE_END.len();
        Ok(Self { bytes, headers_end })
    }

    /// Returns the request with a deadline header of `time_left`.
    pub(crate) fn with_deadline(&self, time_left: Duration) -> Vec<u8> {
        let (lines, rest) = self.bytes.split_at(self.headers_end);
        let deadline = format!("{}: {}\r\n", name::DEADLINE_MS, time_left.as_millis());
        [lines, deadline.as_bytes(), rest].concat()
    }
}
