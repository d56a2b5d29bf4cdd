//! Heads that are forwarded with their target and header lines unchanged,
//! except for hop-by-hop headers.

use crate::head::{
    BodyLength,
    CLOSE,
    CONTINUE,
    HEADER_LINES_MAX,
    HeadError,
    is_host_byte,
    request_line,
    stated_length,
    status_line, //
};
use crate::headers::{
    is_hop_by_hop,
    name, //
};
use std::fmt;
use std::time::Duration;

const KEEP_ALIVE: &str = "keep-alive";
const KEEP_ALIVE_TIMEOUT: &str = "timeout";
const VERSION: &str = "HTTP/1.1";

/// The longest stated idle timeout that counts. No connection is kept for that long, and sums of
/// longer times may overflow.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(60 * 60);

/// Statuses whose responses have no body (RFC 9112, section 6.3).
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Header lines in their original order; names are case-insensitive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderLines(Vec<HeaderLine>);

#[derive(Clone, PartialEq, Eq)]
struct HeaderLine {
    name: String,
    value: Vec<u8>,
}

impl fmt::Debug for HeaderLine {
    /// Omits the value, which may be secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ({} bytes)", self.name, self.value.len())
    }
}

impl HeaderLines {
    /// Returns the first value of `name`.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut lines = self.0.iter();
        let line = lines.find(|line| line.name.eq_ignore_ascii_case(name))?;
        Some(&line.value)
    }

    /// Returns the first value of `name` if it is UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns all values of `name` in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let lines = self.0.iter();
        let of_name = lines.filter(|line| line.name.eq_ignore_ascii_case(name));
        of_name.map(|line| line.value.as_slice())
    }

    /// Removes the lines of `name` whose value satisfies `is_unwanted`.
    pub fn remove_where(&mut self, name: &str, is_unwanted: impl Fn(&[u8]) -> bool) {
        self.0
            .retain(|line| !line.name.eq_ignore_ascii_case(name) || !is_unwanted(&line.value));
    }

    /// Removes all lines of `name`.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|line| !line.name.eq_ignore_ascii_case(name));
    }

    /// Replaces all lines of `name` by one.
    pub fn set(&mut self, name: &str, value: &str) {
        self.remove(name);
        self.push(name, value.as_bytes());
    }

    /// Appends the encoded lines to `message`.
    pub fn encode(&self, message: &mut Vec<u8>) {
        for line in &self.0 {
            message.extend_from_slice(line.name.as_bytes());
            message.extend_from_slice(b": ");
            message.extend_from_slice(&line.value);
            message.extend_from_slice(b"\r\n");
        }
    }

    fn push(&mut self, name: &str, value: &[u8]) {
        self.0.push(HeaderLine {
            name: name.to_owned(),
            value: value.to_vec(),
        });
    }
}

/// Connection options and body framing of a message.
#[derive(Debug)]
struct Framing {
    length: BodyLength,
    close: bool,
    expects_continue: bool,
    keep_alive: Option<Duration>,
}

/// Head of a request to forward.
#[derive(Clone, Debug)]
pub struct ForwardedRequest {
    /// Method as received.
    pub method: String,
    /// Target in origin form as received.
    pub target: String,
    /// Host in lower case, without the port.
    pub host: String,
    /// Header lines to forward.
    pub lines: HeaderLines,
    /// Length of the body.
    pub length: BodyLength,
    /// Whether the client closes the connection after this exchange.
    pub close: bool,
    /// Whether the client waits for `100 Continue`.
    pub expects_continue: bool,
}

/// Head of a response to forward.
#[derive(Clone, Debug)]
pub struct ForwardedResponse {
    /// Status code.
    pub status: u16,
    /// Header lines to forward.
    pub lines: HeaderLines,
    /// Length of the body as stated in the head.
    pub length: BodyLength,
    /// Whether the server closes the connection after this exchange.
    pub close: bool,
    /// How long the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

impl ForwardedRequest {
    /// Parses a complete head, including the empty line.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut parsed = httparse::Request::new(&mut lines);
        let (method, target) = request_line(&mut parsed, bytes)?;
        if !target.starts_with('/') {
            return Err(HeadError::Malformed);
        }
        let host = request_host(parsed.headers)?;
        let (lines, framing) = take_lines(parsed.headers, BodyLength::None)?;
        Ok(Self {
            method: method.to_owned(),
            target: target.to_owned(),
            host,
            lines,
            length: framing.length,
            close: framing.close,
            expects_continue: framing.expects_continue,
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query, or an empty string.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }

    /// Encodes the head, followed by `body`.
    pub fn encode(&self, body: &[u8]) -> Vec<u8> {
        let mut message = Vec::with_capacity(512 + body.len());
        message.extend_from_slice(self.method.as_bytes());
        message.push(b' ');
        message.extend_from_slice(self.target.as_bytes());
        message.extend_from_slice(format!(" {VERSION}\r\n").as_bytes());
        self.lines.encode(&mut message);
        if self.length != BodyLength::None {
            let length = format!("{}: {}\r\n", name::CONTENT_LENGTH, body.len());
            message.extend_from_slice(length.as_bytes());
        }
        message.extend_from_slice(b"\r\n");
        message.extend_from_slice(body);
        message
    }
}

impl ForwardedResponse {
    /// Parses a complete head, including the empty line.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or ambiguous.
    pub fn parse(bytes: &[u8]) -> Result<Self, HeadError> {
        let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES_MAX];
        let mut parsed = httparse::Response::new(&mut lines);
        let status = status_line(&mut parsed, bytes)?;
        let (lines, framing) = take_lines(parsed.headers, BodyLength::UntilClose)?;
        Ok(Self {
            status,
            lines,
            length: framing.length,
            close: framing.close,
            keep_alive: framing.keep_alive,
        })
    }

    /// Returns whether this is an interim response (1xx).
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns the length of the body in response to a request of `method`.
    pub fn body_length(&self, method: &str) -> BodyLength {
        let without = method == "HEAD" || matches!(self.status, NO_CONTENT | NOT_MODIFIED);
        if without {
            BodyLength::None
        } else {
            self.length
        }
    }
}

fn take_lines(
    parsed: &[httparse::Header<'_>],
    unframed: BodyLength,
) -> Result<(HeaderLines, Framing), HeadError> {
    let mut lines = HeaderLines::default();
    let mut length = None;
    let mut framing = Framing {
        length: unframed,
        close: false,
        expects_continue: false,
        keep_alive: None,
    };
    let mut nominated = Vec::new();
    for line in parsed {
        if let Some(stated) = stated_length(line)? {
            if length.replace(stated).is_some() {
                return Err(HeadError::AmbiguousLength);
            }
        } else if line.name.eq_ignore_ascii_case(name::CONNECTION) {
            take_connection(line.value, &mut framing, &mut nominated);
        } else if line.name.eq_ignore_ascii_case(KEEP_ALIVE) {
            framing.keep_alive = keep_alive_timeout(line.value);
        } else if line.name.eq_ignore_ascii_case(name::EXPECT) {
            framing.expects_continue |= line.value.eq_ignore_ascii_case(CONTINUE.as_bytes());
        } else if !is_hop_by_hop(line.name) {
            lines.push(line.name, line.value);
        }
    }
    for nominated in nominated {
        lines.remove(&nominated);
    }
    framing.length = length.unwrap_or(unframed);
    Ok((lines, framing))
}

fn take_connection(value: &[u8], framing: &mut Framing, nominated: &mut Vec<String>) {
    let tokens = String::from_utf8_lossy(value).to_ascii_lowercase();
    for token in tokens.split(',').map(str::trim) {
        match token {
            CLOSE => framing.close = true,
            // A connection option, not a header name.
            KEEP_ALIVE | "" => {}
            _ => nominated.push(token.to_owned()),
        }
    }
}

/// Returns the `timeout` parameter of a `Keep-Alive` header, at most [`KEEP_ALIVE_MAX`].
fn keep_alive_timeout(value: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(value).ok()?;
    text.split(',')
        .filter_map(|parameter| parameter.split_once('='))
        .find(|(key, _)| key.trim().eq_ignore_ascii_case(KEEP_ALIVE_TIMEOUT))
        .and_then(|(_, seconds)| seconds.trim().parse().ok())
        .map(|seconds| Duration::from_secs(seconds).min(KEEP_ALIVE_MAX))
}

/// Returns the host of a request in lower case, without the port.
fn request_host(lines: &[httparse::Header<'_>]) -> Result<String, HeadError> {
    let mut hosts = lines
        .iter()
        .filter(|line| line.name.eq_ignore_ascii_case(name::HOST));
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(HeadError::Malformed);
    };
    if !host.value.iter().all(|&byte| is_host_byte(byte)) {
        return Err(HeadError::Malformed);
    }
    let host = String::from_utf8_lossy(host.value).to_ascii_lowercase();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host.as_str(),
    };
    Ok(name.to_owned())
}
