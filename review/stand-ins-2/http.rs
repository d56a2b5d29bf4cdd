//! HTTP/1.1 messages on sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A head and a whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, in any case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status code of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a parameter of the request's query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(decode(value))
    }

    /// Returns the path of the request.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    /// Reads more; returns how much, 0 at the end.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1_024];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&head)));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body of a stated length to its end.
    pub fn body(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    /// Reads a message whose body has a stated length or none.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let size = message.header("content-length");
        let size = size.and_then(|size| size.parse().ok()).unwrap_or(0);
        message.body = self.body(size)?;
        Ok(Some(message))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn parse_head(head: &[u8]) -> Message {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let pairs = lines.filter_map(|line| line.split_once(':'));
    let headers = pairs.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Message {
        first,
        headers: headers.collect(),
        body: Vec::new(),
    }
}
