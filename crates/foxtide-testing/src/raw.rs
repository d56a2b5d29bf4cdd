//! An upstream and a caller that exchange bytes as given, whole or broken.
//!
//! They read no more HTTP than they need, and with no code of the product.

use parking_lot::Mutex;
use socket2::{
    Domain,
    SockRef,
    Socket,
    Type, //
};
use std::collections::VecDeque;
use std::io::{
    self,
    Read,
    Write, //
};
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpListener,
    TcpStream, //
};
use std::sync::Arc;
use std::time::Duration;

/// Receive buffer of an upstream. With a size of its own it does not grow while a request waits
/// unread (tcp(7)).
const RECEIVE_BUFFER_BYTES: usize = 64 * 1_024;

const BACKLOG: i32 = 128;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How long a caller waits for the next bytes of a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// What follows a response on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// The next request is read.
    Continue,
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The last so many bytes of the response are sent again and again, with a pause between, until
    /// the other side closes the connection.
    RepeatTail {
        /// Number of bytes.
        tail_bytes: usize,
    },
}

/// A response of a [`RawUpstream`].
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// The bytes, one a character. `{signed}` stands for the header lines of an upstream's own
    /// response, and `{id}` for the identity of the request.
    pub text: String,
    /// Whether it is sent as soon as the head of the request has arrived, and the body stays unread.
    pub precedes_body: bool,
    /// How long the upstream works on the request.
    pub work: Duration,
    /// The pause between the response and what follows it.
    pub pause: Duration,
    /// What follows.
    pub then: AfterResponse,
}

impl Default for RawResponse {
    /// Returns a whole response, after which the connection is kept.
    fn default() -> Self {
        Self {
            text: "HTTP/1.1 200 OK\r\n{signed}content-length: 5\r\n\r\nwhole".to_owned(),
            precedes_body: false,
            work: Duration::ZERO,
            pause: Duration::ZERO,
            then: AfterResponse::Continue,
        }
    }
}

/// The responses of one or more upstreams, in the order in which requests arrive at any of them.
#[derive(Clone, Debug)]
pub struct RawScript {
    identity_header: String,
    signed_lines: String,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    responses: VecDeque<RawResponse>,
    usual: RawResponse,
    requests: Vec<String>,
}

impl RawScript {
    /// Returns a script without responses. Requests carry their identity in `identity_header`, and
    /// `signed_lines` are the header lines of an upstream's own response.
    pub fn new(identity_header: &str, signed_lines: &str) -> Self {
        Self {
            identity_header: identity_header.to_owned(),
            signed_lines: signed_lines.to_owned(),
            state: Arc::default(),
        }
    }

    /// Adds the response to one request.
    pub fn push(&self, response: RawResponse) {
        self.state.lock().responses.push_back(response);
    }

    /// Sets the response to requests beyond the script; a whole one by default.
    pub fn set_usual(&self, response: RawResponse) {
        self.state.lock().usual = response;
    }

    /// Returns the identities of the requests whose head has arrived.
    pub fn requests(&self) -> Vec<String> {
        self.state.lock().requests.clone()
    }

    fn next(&self, request: String) -> RawResponse {
        let mut state = self.state.lock();
        state.requests.push(request);
        let next = state.responses.pop_front();
        next.unwrap_or_else(|| state.usual.clone())
    }

    fn encode(&self, response: &RawResponse, request: &str) -> Vec<u8> {
        let text = response.text.replace("{signed}", &self.signed_lines);
        let text = text.replace("{id}", request);
        text.chars().map(|character| character as u8).collect()
    }
}

/// An upstream that responds by a script. It runs until the process ends.
#[derive(Debug)]
pub struct RawUpstream {
    address: SocketAddr,
}

impl RawUpstream {
    /// Starts an upstream on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub fn start(script: &RawScript) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        let script = script.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = script.clone();
                // The connection ends with any error of its socket.
                std::thread::spawn(move || serve(&script, stream).ok());
            }
        });
        Ok(Self { address })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Responds to the requests of a connection.
fn serve(script: &RawScript, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut unread = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut unread)? {
        let header = |name| header_value(&head, name);
        let request = header(&script.identity_header).unwrap_or_default();
        let response = script.next(request.to_owned());
        if !response.precedes_body {
            let length = header("content-length").and_then(|text| text.parse().ok());
            read_body(&mut stream, &mut unread, length.unwrap_or(0))?;
        }
        std::thread::sleep(response.work);
        let bytes = script.encode(&response, request);
        stream.write_all(&bytes)?;
        std::thread::sleep(response.pause);
        match response.then {
            AfterResponse::Continue => {}
            AfterResponse::Close => break,
            AfterResponse::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                break;
            }
            AfterResponse::RepeatTail { tail_bytes } => loop {
                stream.write_all(&bytes[bytes.len() - tail_bytes..])?;
                std::thread::sleep(response.pause);
            },
        }
    }
    Ok(())
}

/// Reads a head and keeps in `unread` what follows it. Returns `None` at the end of the connection.
fn read_head(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        let end = unread.windows(HEAD_END.len()).position(|at| at == HEAD_END);
        if let Some(end) = end {
            let rest = unread.split_off(end + HEAD_END.len());
            let head = std::mem::replace(unread, rest);
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if !read_more(stream, unread)? {
            return Ok(None);
        }
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut named = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value)
}

fn read_body(
    stream: &mut TcpStream,
    unread: &mut Vec<u8>,
    size_bytes: usize,
) -> io::Result<Vec<u8>> {
    while unread.len() < size_bytes {
        if !read_more(stream, unread)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let rest = unread.split_off(size_bytes);
    Ok(std::mem::replace(unread, rest))
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1_024];
    let size_bytes = stream.read(&mut chunk)?;
    bytes.extend_from_slice(&chunk[..size_bytes]);
    Ok(size_bytes > 0)
}

/// What a caller receives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawReply {
    /// Status line, without its end.
    pub status_line: String,
    /// Header lines, without their ends.
    pub lines: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl RawReply {
    fn parse(head: &str, body: Vec<u8>) -> Self {
        let mut lines = head.trim_end().split("\r\n").map(str::to_owned);
        Self {
            status_line: lines.next().unwrap_or_default(),
            lines: lines.collect(),
            body,
        }
    }

    /// Returns the status, if the status line has the form of RFC 9112, section 4.
    pub fn status(&self) -> Option<u16> {
        let rest = self.status_line.strip_prefix("HTTP/1.1 ")?;
        let (digits, _reason) = rest.split_once(' ')?;
        let is_three_digits = digits.len() == 3 && digits.bytes().all(|byte| byte.is_ascii_digit());
        digits.parse().ok().filter(|_| is_three_digits)
    }

    /// Returns whether a header line begins with `name`, in lower case.
    pub fn has_line(&self, name: &str) -> bool {
        let mut lines = self.lines.iter().map(|line| line.to_ascii_lowercase());
        lines.any(|line| line.starts_with(name))
    }
}

/// A caller that sends requests one after another on a kept connection.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl RawCaller {
    /// Connects to an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if it accepts no connection.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        Ok(Self {
            stream,
            unread: Vec::new(),
        })
    }

    /// Sends a request and reads the reply, whose body has a length.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the end of the reply.
    pub fn call(&mut self, request: &[u8]) -> io::Result<RawReply> {
        self.stream.write_all(request)?;
        let head = read_head(&mut self.stream, &mut self.unread)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = header_value(&head, "content-length").and_then(|text| text.parse().ok());
        let body = read_body(&mut self.stream, &mut self.unread, length.unwrap_or(0))?;
        Ok(RawReply::parse(&head, body))
    }
}

/// Sends `request` on a new connection and reads until the other side closes it. The body of the reply
/// is what follows its head.
///
/// # Errors
///
/// Returns an error if the connection fails before a whole head has arrived.
pub fn raw_call(address: SocketAddr, request: &[u8]) -> io::Result<RawReply> {
    let RawCaller {
        mut stream,
        mut unread,
    } = RawCaller::connect(address)?;
    // The reply may arrive, and the connection be closed, before all of the request is sent.
    let written = stream.write_all(request);
    let head = match read_head(&mut stream, &mut unread) {
        Ok(Some(head)) => head,
        Ok(None) => return Err(written.err().unwrap_or(io::ErrorKind::UnexpectedEof.into())),
        Err(error) => return Err(written.err().unwrap_or(error)),
    };
    while read_more(&mut stream, &mut unread).unwrap_or(false) {}
    Ok(RawReply::parse(&head, unread))
}
