//! Builds an upstream's answers and applies faults to them.

use super::faults::AnswerFault;
use super::load::LOAD_HEADER;
use crate::http::{
    Call,
    Reply,
    encode,
    json,
    text, //
};
use http_types::{
    Method,
    Response,
    StatusCode, //
};
use serde::Serialize;
use smol::Timer;

const OUTCOME_HEADER: &str = "foxtide-outcome";
const REQUEST_ID_HEADER: &str = "foxtide-request-id";
const KEY_HEADER: &str = "idempotency-key";
const STATE_HEADER: &str = "foxtide-upstream-state";

/// The rest that an upstream asks for when it sheds load, in seconds.
const RETRY_AFTER_S: &str = "1";

/// By how much a wrong `content-length` differs from the body's length.
const LENGTH_ERROR_BYTES: usize = 7;

/// The body of an answer, which identifies its request.
#[derive(Serialize)]
struct AnswerBody<'a> {
    upstream: &'a str,
    method: String,
    path: &'a str,
    request_id: Option<&'a str>,
    idempotency_key: Option<&'a str>,
    body_bytes: usize,
    padding: String,
}

/// The path and the IDs of a request.
pub(super) struct RequestIdentity {
    pub(super) path: String,
    pub(super) request_id: Option<String>,
    pub(super) idempotency_key: Option<String>,
}

impl RequestIdentity {
    pub(super) fn of(call: &Call) -> Self {
        let url = call.request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Self {
            path,
            request_id: call.header(REQUEST_ID_HEADER),
            idempotency_key: call.header(KEY_HEADER),
        }
    }

    pub(super) fn answer(&self, upstream: &str, call: &Call, padding_bytes: usize) -> Response {
        let mut response = json(&AnswerBody {
            upstream,
            method: call.request.method().to_string(),
            path: &self.path,
            request_id: self.request_id.as_deref(),
            idempotency_key: self.idempotency_key.as_deref(),
            body_bytes: call.body.len(),
            padding: "x".repeat(padding_bytes),
        });
        if let Some(id) = &self.request_id {
            response.insert_header(REQUEST_ID_HEADER, id);
        }
        response
    }
}

/// Returns the answer to a request that was refused without running.
pub(super) fn refusal(call: &Call, reason: &str) -> Response {
    let mut response = text(StatusCode::ServiceUnavailable, reason);
    response.insert_header(OUTCOME_HEADER, "not-run");
    if let Some(id) = call.header(REQUEST_ID_HEADER) {
        response.insert_header(REQUEST_ID_HEADER, id);
    }
    response
}

/// Asks the sender of a refused request for rest.
pub(super) fn ask_for_rest(response: &mut Response) {
    response.insert_header("retry-after", RETRY_AFTER_S);
}

/// Adds the headers for the upstream's load and draining state.
pub(super) fn add_status_headers(response: &mut Response, load: Option<String>, drains: bool) {
    if let Some(load) = load {
        response.insert_header(LOAD_HEADER, load);
    }
    if drains {
        response.insert_header(STATE_HEADER, "draining");
    }
}

/// Returns the bytes of an answer sent before any request.
pub(super) fn early_answer() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly".to_vec()
}

/// Turns an answer into the reply that the fault produces.
pub(super) async fn apply_fault(response: Response, method: Method, fault: AnswerFault) -> Reply {
    match fault {
        AnswerFault::None => return Reply::whole(response),
        AnswerFault::Late(delay) => {
            Timer::after(delay).await;
            return Reply::whole(response);
        }
        AnswerFault::LostAfterRun | AnswerFault::LostBeforeRun => return Reply::Close,
        AnswerFault::Never => return Reply::Silence,
        _ => {}
    }
    let Ok(bytes) = encode(response, method).await else {
        return Reply::Close;
    };
    let close = fault == AnswerFault::Truncated;
    let bytes = match fault {
        AnswerFault::Truncated => bytes[..bytes.len() / 2].to_vec(),
        AnswerFault::Doubled => bytes.repeat(2),
        AnswerFault::LengthTooLong => with_length(&bytes, |n| n + LENGTH_ERROR_BYTES),
        AnswerFault::LengthTooShort => {
            with_length(&bytes, |n| n.saturating_sub(LENGTH_ERROR_BYTES))
        }
        _ => bytes,
    };
    Reply::Raw { bytes, close }
}

/// Rewrites the value of the `content-length` header.
fn with_length(bytes: &[u8], change: impl Fn(usize) -> usize) -> Vec<u8> {
    let message = String::from_utf8_lossy(bytes);
    let lines = message.split("\r\n").map(|line| {
        let number = line.strip_prefix("content-length: ");
        match number.and_then(|number| number.parse().ok()) {
            Some(length) => format!("content-length: {}", change(length)),
            None => line.to_owned(),
        }
    });
    lines.collect::<Vec<_>>().join("\r\n").into_bytes()
}
