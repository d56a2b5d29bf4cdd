//! Answers to callers and their encoding.

use crate::upstream::LongBody;
use async_h1::server::Encoder;
use foxtide_core::outcome::Outcome;
use foxtide_http::{
    BodyLength,
    empty_headers,
    name, //
};
use http_types::headers::{
    HeaderName,
    HeaderValue,
    Headers, //
};
use http_types::{
    Body,
    Method,
    Response,
    StatusCode, //
};
use serde::Serialize;
use smol::io::AsyncReadExt;
use std::io;
use std::time::Duration;

/// Content type of JSON documents.
pub(crate) const JSON: &str = "application/json";

/// Initial capacity for a head; most are shorter.
const HEAD_CAPACITY_BYTES: usize = 1_024;

const CLOSE: &str = "close";

#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// Complete body, sent together with the head.
    Whole(Vec<u8>),
    /// No body, as for `HEAD`; the head may still state a length.
    Absent {
        /// Length stated in the head.
        stated: BodyLength,
    },
    /// Body that exceeds the buffer and is streamed.
    Long(Box<LongBody>),
}

/// Encoded answer, ready to be sent.
#[derive(Debug)]
pub(crate) struct Encoded {
    /// Head, followed by the body if it is complete.
    pub(crate) bytes: Vec<u8>,
    /// Body to stream after `bytes`.
    pub(crate) long_body: Option<Box<LongBody>>,
}

/// Answer to a caller, from an upstream or from foxtide itself.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Headers except those that frame the body.
    pub(crate) headers: Headers,
    pub(crate) body: AnswerBody,
}

/// Answer that foxtide itself gives instead of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// What is known about the execution of the request.
    pub(crate) outcome: Outcome,
    /// Machine-readable reason, sent in the body.
    pub(crate) reason: &'static str,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Duration,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    request: &'a str,
}

impl Refusal {
    /// Returns the refusal of a request that was not executed.
    pub(crate) fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason,
            retry_after: Duration::from_secs(1),
        }
    }

    /// Replaces the outcome, for example by that of earlier attempts.
    pub(crate) fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Returns the answer that reports this refusal.
    pub(crate) fn answer(&self, request: &str) -> Answer {
        let body = RefusalBody {
            outcome: self.outcome.as_str(),
            reason: self.reason,
            request,
        };
        let mut answer = Answer::json(self.status, &body);
        answer.insert(name::OUTCOME, self.outcome.as_str());
        let retry_after_s = self.retry_after.as_secs_f64().ceil().max(1.0);
        answer.insert(name::RETRY_AFTER, &format!("{retry_after_s}"));
        answer
    }
}

impl Answer {
    /// Returns an answer with a complete body.
    pub(crate) fn new(status: StatusCode, content_type: &str, body: Vec<u8>) -> Self {
        let mut answer = Self {
            status,
            headers: empty_headers(),
            body: AnswerBody::Whole(body),
        };
        answer.insert(name::CONTENT_TYPE, content_type);
        answer
    }

    /// Returns an answer with a JSON body.
    pub(crate) fn json(status: StatusCode, document: &impl Serialize) -> Self {
        // Documents of strings and numbers always serialise.
        let body = serde_json::to_vec(document).unwrap_or_default();
        Self::new(status, JSON, body)
    }

    /// Sets a header; an invalid value is ignored.
    pub(crate) fn insert(&mut self, header: &str, value: &str) {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes().to_vec()) {
            self.headers.insert(HeaderName::from(header), value);
        }
    }

    /// Announces that the connection closes after this answer.
    pub(crate) fn close(&mut self) {
        self.insert(name::CONNECTION, CLOSE);
    }

    /// Encodes the answer to a request of `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub(crate) async fn encode(self, method: Method) -> io::Result<Encoded> {
        let Self {
            status,
            headers,
            body,
        } = self;
        match body {
            AnswerBody::Whole(body) => {
                let bytes = encode_whole(status, headers, body, method).await?;
                Ok(Encoded {
                    bytes,
                    long_body: None,
                })
            }
            AnswerBody::Absent { stated } => {
                let bytes = encode_head(status, headers, stated).await?;
                Ok(Encoded {
                    bytes,
                    long_body: None,
                })
            }
            AnswerBody::Long(body) => {
                let bytes = encode_head(status, headers, body.length()).await?;
                Ok(Encoded {
                    bytes,
                    long_body: Some(body),
                })
            }
        }
    }
}

async fn encode_whole(
    status: StatusCode,
    headers: Headers,
    body: Vec<u8>,
    method: Method,
) -> io::Result<Vec<u8>> {
    let size_bytes = body.len();
    let response = response(status, headers, Body::from_bytes(body));
    let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES + size_bytes);
    Encoder::new(response, method)
        .read_to_end(&mut bytes)
        .await?;
    Ok(bytes)
}

/// Encodes a head that states `length`, without a body.
async fn encode_head(
    status: StatusCode,
    headers: Headers,
    length: BodyLength,
) -> io::Result<Vec<u8>> {
    let nothing = smol::io::empty();
    let (body, stated) = match length {
        BodyLength::Fixed { size_bytes } => {
            let length = usize::try_from(size_bytes).ok();
            (Body::from_reader(nothing, length), true)
        }
        BodyLength::Chunked => (Body::from_reader(nothing, None), true),
        BodyLength::None | BodyLength::UntilClose => (Body::empty(), false),
    };
    let mut bytes = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    // For `HEAD` the encoder writes the head alone.
    Encoder::new(response(status, headers, body), Method::Head)
        .read_to_end(&mut bytes)
        .await?;
    if !stated {
        remove_zero_length(&mut bytes);
    }
    Ok(bytes)
}

fn response(status: StatusCode, headers: Headers, body: Body) -> Response {
    let typed = headers.get(name::CONTENT_TYPE).is_some();
    let mut response = Response::new(status);
    *response.as_mut() = headers;
    response.set_body(body);
    if !typed {
        // `set_body` adds a default content type.
        response.remove_header(name::CONTENT_TYPE);
    }
    response
}

/// Removes the `content-length: 0` that the encoder adds to every empty body:
/// an answer without a stated length must not have it (RFC 9110, section 8.6).
fn remove_zero_length(bytes: &mut Vec<u8>) {
    const LINE: &[u8] = b"content-length: 0\r\n";
    let found = bytes.windows(LINE.len()).position(|window| window == LINE);
    if let Some(start) = found {
        bytes.drain(start..start + LINE.len());
    }
}
