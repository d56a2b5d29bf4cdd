//! Heads of messages and the body framing that they state.

use crate::headers::{
    empty_headers,
    is_hop_by_hop,
    name, //
};
use http_types::headers::{
    HeaderName,
    HeaderValue,
    Headers, //
};
use http_types::{
    Method,
    StatusCode,
    Url, //
};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Status codes of responses (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// What follows this status is of another protocol (RFC 9110, section 15.2.2).
const SWITCHING_PROTOCOLS: u16 = 101;

/// Maximum number of header lines in a message.
pub(crate) const HEADER_LINES_MAX: usize = 128;

const CHUNKED: &str = "chunked";
pub(crate) const CONTINUE: &str = "100-continue";
pub(crate) const CLOSE: &str = "close";
const KEEP_ALIVE: &str = "keep-alive";

/// Length of a message body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// No body.
    None,
    /// Length stated in the head.
    Fixed {
        /// Length.
        size_bytes: u64,
    },
    /// Chunked body.
    Chunked,
    /// Body that ends when the connection closes, so that truncation is
    /// undetectable.
    UntilClose,
}

/// Reason why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head is malformed.
    #[error("malformed head")]
    Malformed,
    /// Recipients may disagree on the end of the message (RFC 9112, section
    /// 11.2).
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The version is not HTTP/1.1.
    #[error("HTTP version is not 1.1")]
    Version,
    /// The method or status is unknown.
    #[error("unknown method or status")]
    UnknownMethodOrStatus,
    /// The status code belongs to no class of responses.
    #[error("status code {code:03} is not from 100 to 599")]
    InvalidStatus {
        /// Status code.
        code: u16,
    },
    /// The response switches to another protocol, which no forwarded request asks for.
    #[error("switches protocols without a request for it")]
    UnrequestedUpgrade,
    /// The transfer coding is not `chunked`.
    #[error("unsupported transfer coding")]
    TransferCoding,
}

/// Parts common to the heads of requests and responses.
#[derive(Debug)]
pub struct Head {
    /// Headers to forward.
    pub headers: Headers,
    /// Length of the body.
    pub length: BodyLength,
    /// Whether the peer closes the connection after this message.
    pub close: bool,
    /// Whether the peer waits for `100 Continue` before sending the body.
    pub expects_continue: bool,
}

/// Head of a request.
#[derive(Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Target, with dot segments removed (RFC 3986, section 6.2.2.3).
    pub url: Url,
    /// Headers and framing.
    pub head: Head,
}

/// Head of a response.
#[derive(Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers and framing.
    pub head: Head,
}

impl RequestHead {
    /// Parses a complete head, including the empty line.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        // http-types accepts only ASCII headers.
        if !bytes.is_ascii() {
            return Err(HeadError::Malformed);
        }
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut parsed = httparse::Request::new(&mut lines);
        let (method, target) = request_line(&mut parsed, bytes)?;
        let method = Method::from_str(method).map_err(|_| HeadError::UnknownMethodOrStatus)?;
        let url = request_url(target, parsed.headers)?;
        let head = Head::from_lines(parsed.headers, BodyLength::None)?;
        Ok(Self { method, url, head })
    }
}

impl ResponseHead {
    /// Parses a complete head, including the empty line.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut parsed = httparse::Response::new(&mut lines);
        let code = status_line(&mut parsed, bytes)?;
        let status = StatusCode::try_from(code).map_err(|_| HeadError::UnknownMethodOrStatus)?;
        let head = Head::from_lines(parsed.headers, BodyLength::UntilClose)?;
        Ok(Self { status, head })
    }

    /// Returns the length of the body in response to a request of `method`; the
    /// head may state a length although no body is sent.
    pub fn body_length(&self, method: Method) -> BodyLength {
        if has_body(method, self.status) {
            self.head.length
        } else {
            BodyLength::None
        }
    }

    /// Returns whether this is an interim response (1xx).
    pub fn is_interim(&self) -> bool {
        self.status.is_informational()
    }
}

impl Head {
    fn from_lines(lines: &[httparse::Header<'_>], unframed: BodyLength) -> Result<Self, HeadError> {
        let mut head = Self {
            headers: empty_headers(),
            length: unframed,
            close: false,
            expects_continue: false,
        };
        let mut framed = false;
        let mut nominated = Vec::new();
        for line in lines {
            let taken = head.take_framing(line, &mut framed)?
                || head.take_connection(line, &mut nominated)
                || head.take_expect(line);
            if !taken && !is_hop_by_hop(line.name) {
                head.append(line)?;
            }
        }
        for header in nominated {
            head.headers.remove(header.as_str());
        }
        Ok(head)
    }

    /// Handles a `Connection` line; collects the hop-by-hop headers that it
    /// names.
    fn take_connection(
        &mut self,
        line: &httparse::Header<'_>,
        nominated: &mut Vec<String>,
    ) -> bool {
        if !line.name.eq_ignore_ascii_case(name::CONNECTION) {
            return false;
        }
        let tokens = String::from_utf8_lossy(line.value).to_ascii_lowercase();
        for token in tokens.split(',').map(str::trim) {
            match token {
                CLOSE => self.close = true,
                // A connection option, not a header name.
                KEEP_ALIVE | "" => {}
                _ if token.is_ascii() => nominated.push(token.to_owned()),
                _ => {}
            }
        }
        true
    }

    /// Handles an `Expect` line.
    fn take_expect(&mut self, line: &httparse::Header<'_>) -> bool {
        if !line.name.eq_ignore_ascii_case(name::EXPECT) {
            return false;
        }
        self.expects_continue |= line.value.eq_ignore_ascii_case(CONTINUE.as_bytes());
        true
    }

    /// Handles a line that frames the body; `framed` tells whether one came
    /// before.
    fn take_framing(
        &mut self,
        line: &httparse::Header<'_>,
        framed: &mut bool,
    ) -> Result<bool, HeadError> {
        let Some(length) = stated_length(line)? else {
            return Ok(false);
        };
        if std::mem::replace(framed, true) {
            return Err(HeadError::AmbiguousLength);
        }
        self.length = length;
        Ok(true)
    }

    fn append(&mut self, line: &httparse::Header<'_>) -> Result<(), HeadError> {
        let header = HeaderName::from_str(line.name).map_err(|_| HeadError::Malformed)?;
        // http-types accepts only ASCII; other lines are dropped.
        let Ok(value) = HeaderValue::from_bytes(line.value.to_vec()) else {
            return Ok(());
        };
        self.headers.append(header, value);
        Ok(())
    }
}

/// Parses the head of a request; returns its method and target.
pub(crate) fn request_line<'b>(
    parsed: &mut httparse::Request<'_, 'b>,
    bytes: &'b [u8],
) -> Result<(&'b str, &'b str), HeadError> {
    if has_bare_line_feed(bytes) {
        return Err(HeadError::Malformed);
    }
    let parsing = parsed.parse(bytes).map_err(|_| HeadError::Malformed)?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HeadError::Malformed);
    };
    match (takes_all(parsing, bytes), version) {
        (false, _) => Err(HeadError::Malformed),
        (true, 1) => Ok((method, target)),
        (true, _) => Err(HeadError::Version),
    }
}

/// Parses the head of a response; returns its status code.
pub(crate) fn status_line<'b>(
    parsed: &mut httparse::Response<'_, 'b>,
    bytes: &'b [u8],
) -> Result<u16, HeadError> {
    let parsing = parsed.parse(bytes).map_err(|_| HeadError::Malformed)?;
    let (Some(code), Some(version)) = (parsed.code, parsed.version) else {
        return Err(HeadError::Malformed);
    };
    match (takes_all(parsing, bytes), version) {
        (false, _) => Err(HeadError::Malformed),
        (true, 1) if code == SWITCHING_PROTOCOLS => Err(HeadError::UnrequestedUpgrade),
        (true, 1) if STATUS_CODES.contains(&code) => Ok(code),
        (true, 1) => Err(HeadError::InvalidStatus { code }),
        (true, _) => Err(HeadError::Version),
    }
}

/// Returns whether a parsed head ends with `bytes`. What followed an earlier end would be lost to the
/// body.
fn takes_all(parsing: httparse::Status<usize>, bytes: &[u8]) -> bool {
    parsing == httparse::Status::Complete(bytes.len())
}

fn has_body(method: Method, status: StatusCode) -> bool {
    let without = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    method != Method::Head && !without && !status.is_informational()
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    let mut before = b' ';
    for &byte in bytes {
        if byte == b'\n' && before != b'\r' {
            return true;
        }
        before = byte;
    }
    false
}

/// Returns the length of the body if the line states it.
pub(crate) fn stated_length(line: &httparse::Header<'_>) -> Result<Option<BodyLength>, HeadError> {
    if line.name.eq_ignore_ascii_case(name::CONTENT_LENGTH) {
        content_length(line.value).map(Some)
    } else if line.name.eq_ignore_ascii_case(name::TRANSFER_ENCODING) {
        transfer_coding(line.value).map(Some)
    } else {
        Ok(None)
    }
}

fn content_length(value: &[u8]) -> Result<BodyLength, HeadError> {
    let text = std::str::from_utf8(value).map_err(|_| HeadError::Malformed)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HeadError::AmbiguousLength);
    }
    let size_bytes = text.parse().map_err(|_| HeadError::AmbiguousLength)?;
    Ok(BodyLength::Fixed { size_bytes })
}

fn transfer_coding(value: &[u8]) -> Result<BodyLength, HeadError> {
    if value.eq_ignore_ascii_case(CHUNKED.as_bytes()) {
        Ok(BodyLength::Chunked)
    } else {
        Err(HeadError::TransferCoding)
    }
}

/// Returns the URL of an origin-form target on the request's host.
fn request_url(target: &str, lines: &[httparse::Header<'_>]) -> Result<Url, HeadError> {
    let mut hosts = lines
        .iter()
        .filter(|line| line.name.eq_ignore_ascii_case(name::HOST));
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadError::Malformed);
    };
    if !host.value.iter().all(|&byte| is_host_byte(byte)) || !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let host = String::from_utf8_lossy(host.value);
    Url::parse(&format!("http://{host}{target}")).map_err(|_| HeadError::Malformed)
}

/// Returns whether a byte may occur in a host and port (RFC 3986, section
/// 3.2.2), so that no part of the host is parsed as a path.
pub(crate) fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'-' | b'_' | b':' | b'[' | b']')
}
