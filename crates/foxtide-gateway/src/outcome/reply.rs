//! Replies to callers.

use foxtide_core::units::ByteSize;
use foxtide_http::WholeResponse;
use std::time::Duration;

/// The statuses that promise that a request has not run and will not.
const PROMISING_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Tells whether callers take a status for the promise that their request has not run and will not.
pub(crate) fn is_promise(status: u16) -> bool {
    PROMISING_STATUSES.contains(&status)
}

/// An error reply that the instance makes itself (RFC 9110, section 15).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request cannot be understood.
    BadRequest,
    /// The caller presents no valid key.
    Unauthorised,
    /// No route matches.
    NotFound,
    /// The caller took too long to send the request.
    RequestTimeout,
    /// The body is too long.
    BodyTooLong,
    /// The head is too long.
    HeadTooLong,
    /// The request may have run, but no response can be delivered.
    Failed,
    /// The request has not run and will not run; the caller may retry.
    NotRun {
        /// When to retry.
        retry_after: Duration,
    },
    /// The organisation of the caller has used up its quota; the request will not run.
    OverQuota {
        /// When the quota has a token again.
        retry_after: Duration,
    },
    /// The deadline passed while an upstream worked on the request.
    TimedOut,
}

impl Refusal {
    /// Returns the reason for logs.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::BadRequest => "malformed",
            Self::Unauthorised => "key_refused",
            Self::NotFound => "no_route",
            Self::RequestTimeout => "caller_too_slow",
            Self::BodyTooLong => "body_too_long",
            Self::HeadTooLong => "head_too_long",
            Self::Failed => "response_lost",
            Self::NotRun { .. } => "not_run",
            Self::OverQuota { .. } => "quota_reached",
            Self::TimedOut => "time_up_at_upstream",
        }
    }

    /// Returns the status code and its reason phrase.
    pub(crate) fn status(self) -> (u16, &'static str) {
        match self {
            Self::BadRequest => (400, "Bad Request"),
            Self::Unauthorised => (401, "Unauthorized"),
            Self::NotFound => (404, "Not Found"),
            Self::RequestTimeout => (408, "Request Timeout"),
            Self::BodyTooLong => (413, "Content Too Large"),
            Self::OverQuota { .. } => (429, "Too Many Requests"),
            Self::HeadTooLong => (431, "Request Header Fields Too Large"),
            Self::Failed => (502, "Bad Gateway"),
            Self::NotRun { .. } => (503, "Service Unavailable"),
            Self::TimedOut => (504, "Gateway Timeout"),
        }
    }
}

/// A reply to a caller.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// The upstream's whole response, unchanged.
    Response(Box<WholeResponse>),
    /// A reply that the instance makes itself.
    Refused(Refusal),
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Reply {
    /// Returns the status code.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Response(response) => response.head.status,
            Self::Refused(refusal) => refusal.status().0,
        }
    }

    /// Tells whether it promises that its request has not run and will not.
    pub(crate) fn is_promise(&self) -> bool {
        is_promise(self.status())
    }

    /// Returns where it comes from, for logs and metrics.
    pub(crate) fn source(&self) -> &'static str {
        match self {
            Self::Response(_) => "upstream",
            Self::Refused(_) => "instance",
        }
    }

    /// Returns the size of the body.
    pub(crate) fn body_size(&self) -> ByteSize {
        match self {
            Self::Response(response) => ByteSize::from_bytes(response.body.len() as u64),
            Self::Refused(_) => ByteSize::default(),
        }
    }

    /// Encodes the reply; `close` tells the caller that the connection ends.
    pub(crate) fn encode(&self, method: &str, close: bool) -> Vec<u8> {
        self.encode_with(method, close, "")
    }

    /// Encodes the reply with an additional header line, if `line` is not empty.
    pub(crate) fn encode_with(&self, method: &str, close: bool, line: &str) -> Vec<u8> {
        let mut message = Vec::with_capacity(512);
        match self {
            Self::Response(response) => encode_response(response, method, &mut message),
            Self::Refused(refusal) => encode_refusal(*refusal, &mut message),
        }
        message.extend_from_slice(line.as_bytes());
        if close {
            message.extend_from_slice(b"connection: close\r\n");
        }
        message.extend_from_slice(b"\r\n");
        if let Self::Response(response) = self {
            message.extend_from_slice(&response.body);
        }
        message
    }

    /// Removes the header lines of a name from an upstream's response.
    pub(crate) fn remove_lines(&mut self, name: &str) {
        if let Self::Response(response) = self {
            response.head.lines.remove(name);
        }
    }
}

/// Encodes the head of a response but for its end.
fn encode_response(response: &WholeResponse, method: &str, message: &mut Vec<u8>) {
    let status = response.head.status;
    message.extend_from_slice(format!("HTTP/1.1 {status} \r\n").as_bytes());
    response.head.lines.encode(message);
    let has_no_body = method == "HEAD" || status == 204 || status == 304;
    if !has_no_body {
        let length = format!("content-length: {}\r\n", response.body.len());
        message.extend_from_slice(length.as_bytes());
    }
}

/// Encodes the head of a refusal but for its end.
fn encode_refusal(refusal: Refusal, message: &mut Vec<u8>) {
    let (status, reason) = refusal.status();
    message.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    match refusal {
        Refusal::NotRun { retry_after } | Refusal::OverQuota { retry_after } => {
            let seconds = retry_after.as_secs_f64();
            message.extend_from_slice(format!("retry-after: {seconds:.3}\r\n").as_bytes());
        }
        // HTTP requires a challenge (RFC 9110, section 15.5.2).
        Refusal::Unauthorised => message.extend_from_slice(b"www-authenticate: Bearer\r\n"),
        _ => {}
    }
    message.extend_from_slice(b"content-length: 0\r\n");
}
