//! Makes what is sent to an upstream out of what a caller sent.

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

/// What most heads need no more than.
const HEAD_CAPACITY_BYTES: usize = 1_024;

const VIA: &str = "via";
const VIA_FOXTIDE: &str = "1.1 foxtide";

/// A request that can be sent as often as needed.
#[derive(Debug)]
pub(crate) struct PreparedRequest {
    /// The whole request without its deadline.
    bytes: Vec<u8>,
    /// Where the lines of the head end.
    headers_end: usize,
}

impl PreparedRequest {
    /// Prepares a request to be sent.
    ///
    /// # Errors
    ///
    /// Fails where the encoder does.
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
            // `set_body` invents a type where the caller gave none.
            request.remove_header(name::CONTENT_TYPE);
        }
        let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES + body_bytes);
        Encoder::new(request).read_to_end(&mut bytes).await?;
        let headers_end = bytes.len() - body_bytes - LINE_END.len();
        Ok(Self { bytes, headers_end })
    }

    /// Returns the bytes to send where `time_left` remains for the answer.
    pub(crate) fn with_deadline(&self, time_left: Duration) -> Vec<u8> {
        let (lines, rest) = self.bytes.split_at(self.headers_end);
        let deadline = format!("{}: {}\r\n", name::DEADLINE_MS, time_left.as_millis());
        [lines, deadline.as_bytes(), rest].concat()
    }
}
