//! Clients: they send requests with a deadline and read the answers.

use crate::http::{Connection, Message};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Client {
    pub connection: Connection,
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let Request {
            method,
            host,
            target,
            id,
            deadline_ms,
            body,
        } = self;
        let mut head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Request-Deadline: {deadline_ms}\r\n"
        );
        if *method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

impl Client {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self {
            connection: Connection::new(stream),
        })
    }

    pub fn send(&mut self, request: &Request<'_>) -> io::Result<()> {
        self.connection.write(&request.encode())
    }

    /// Reads one answer; an end of the connection before its first byte is an error.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Message> {
        self.connection.stream.set_read_timeout(Some(limit))?;
        self.connection
            .read(true)?
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn exchange(&mut self, request: &Request<'_>) -> io::Result<Message> {
        self.send(request)?;
        self.receive(Duration::from_millis(request.deadline_ms + 1_000))
    }

    pub fn exchange_raw(&mut self, bytes: &[u8], limit: Duration) -> io::Result<Message> {
        self.connection.write(bytes)?;
        self.receive(limit)
    }
}

/// How an exchange ended, for the record.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => {
            let signature = answer.header("X-Response-Signature").unwrap_or("none");
            format!(
                "{} signature {signature} body {} bytes",
                answer.status(),
                answer.body.len()
            )
        }
        Err(error) => format!("no answer: {:?}", error.kind()),
    }
}
