//! Makes what is sent to an upstream out of what a caller sent.

use crate::answer::Refusal;
use crate::clock::Clock;
use crate::http::{name, strip_hop_by_hop};
use crate::lookup::{unknown_organisation, unknown_service};
use crate::options::EntryOptions;
use crate::parts::{Directory, Parts, RequestFacts};
use crate::serve::Received;
use async_h1::client::Encoder;
use foxtide_core::ids::{OrganisationId, ServiceId};
use http_types::headers::Headers;
use http_types::{Body, Request, StatusCode};
use smol::io::AsyncReadExt;
use std::io;
use std::time::Duration;

const VIA: &str = "via";
const VIA_FOXTIDE: &str = "1.1 foxtide";

/// What a request is for.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The organisation.
    pub(crate) organisation: OrganisationId,
    /// The service.
    pub(crate) service: ServiceId,
    /// The path at the upstream.
    pub(crate) path: String,
}

/// A request that can be sent as often as needed.
#[derive(Debug)]
pub(crate) struct Prepared {
    head: Request,
    body: Vec<u8>,
    typed: bool,
}

/// Collects what is known of a request.
///
/// # Errors
///
/// Fails where the organisation or the service does not exist, or the deadline
/// is malformed.
pub(crate) fn facts<P: Parts>(
    parts: &P,
    options: &EntryOptions,
    received: &Received,
    target: &Target,
    id: &str,
) -> Result<RequestFacts, Refusal> {
    let bound_to = options.organisation.as_ref();
    if bound_to.is_some_and(|bound| *bound != target.organisation) {
        return Err(unknown_organisation());
    }
    let organisation = parts.directory().organisation(&target.organisation);
    let organisation = organisation.ok_or_else(unknown_organisation)?;
    let service = organisation.service(&target.service);
    let contract = &service.ok_or_else(unknown_service)?.contract;
    let asked = asked_deadline(&received.head.head.headers)?;
    let time = asked.unwrap_or_else(|| contract.deadline());
    let method = received.head.method;
    let received_at = parts.clock().now();
    Ok(RequestFacts {
        request: id.to_owned(),
        idempotent: contract.is_idempotent(method.as_ref(), &target.path),
        service: target.service.clone(),
        method,
        client: received.peer.ip(),
        received_at,
        deadline: received_at + time.min(options.deadline_max),
        organisation,
    })
}

fn asked_deadline(headers: &Headers) -> Result<Option<Duration>, Refusal> {
    let Some(values) = headers.get(name::DEADLINE_MS) else {
        return Ok(None);
    };
    let asked_ms = values.as_str().parse();
    let malformed = |_| Refusal::not_run(StatusCode::BadRequest, "malformed-deadline");
    asked_ms
        .map(|asked_ms| Some(Duration::from_millis(asked_ms)))
        .map_err(malformed)
}

impl Prepared {
    /// Prepares a request to be sent.
    pub(crate) fn new(received: Received, target: &Target, id: &str) -> Self {
        let mut url = received.head.url;
        url.set_path(&target.path);
        let mut head = Request::new(received.head.method, url);
        let mut headers = received.head.head.headers;
        strip_hop_by_hop(&mut headers);
        headers.remove(name::EXPECT);
        headers.insert(name::REQUEST_ID, id);
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
