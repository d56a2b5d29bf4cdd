//! Makes what is sent to an upstream out of what a caller sent.

use crate::facts::Target;
use crate::http::{name, strip_hop_by_hop};
use crate::serve::Received;
use async_h1::client::Encoder;
use foxtide_core::events::RequestId;
use http_types::{Body, Request};
use smol::io::AsyncReadExt;
use std::io;
use std::time::Duration;

const VIA: &str = "via";
const VIA_FOXTIDE: &str = "1.1 foxtide";

/// A request that can be sent as often as needed.
#[derive(Debug)]
pub(crate) struct Prepared {
    head: Request,
    body: Vec<u8>,
    typed: bool,
}

impl Prepared {
    /// Prepares a request to be sent.
    pub(crate) fn new(received: Received, target: &Target, id: &RequestId) -> Self {
        let mut url = received.head.url;
        url.set_path(&target.path);
        let mut head = Request::new(received.head.method, url);
        let mut headers = received.head.head.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(name::EXPECT);
        headers.insert(name::REQUEST_ID, id.as_str());
        headers.append(VIA, VIA_FOXTIDE);
        let typed = headers.get(name::CONTENT_TYPE).is_some();
        *head.as_mut() = headers;
        Self {
            head,
            body: received.body,
            typed,
        }
    }

    /// Returns the bytes to send where `time_left` remains for the answer.
    ///
    /// # Errors
    ///
    /// Fails where the encoder does.
    pub(crate) async fn encode(&self, time_left: Duration) -> io::Result<Vec<u8>> {
        let mut request = self.head.clone();
        request.insert_header(name::DEADLINE_MS, time_left.as_millis().to_string());
        request.set_body(Body::from_bytes(self.body.clone()));
        if !self.typed {
            // `set_body` invents a type where the caller gave none.
            request.remove_header(name::CONTENT_TYPE);
        }
        let mut bytes = Vec::new();
        Encoder::new(request).read_to_end(&mut bytes).await?;
        Ok(bytes)
    }
}
