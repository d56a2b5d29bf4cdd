//! A caller with one connection.

use foxtide_http::{
    BufferedStream,
    WholeResponse,
    read_response, //
};
use std::net::SocketAddr;

/// A caller's connection to an instance.
#[derive(Debug)]
pub(crate) struct Caller {
    stream: BufferedStream,
}

impl Caller {
    /// Connects.
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let stream = smol::block_on(BufferedStream::connect(address, None)).unwrap();
        Self { stream }
    }

    /// Sends bytes as they are.
    pub(crate) fn send(&mut self, text: &str) {
        smol::block_on(self.stream.write_all(text.as_bytes())).unwrap();
    }

    /// Reads a response.
    pub(crate) fn read(&mut self) -> WholeResponse {
        smol::block_on(read_response(&mut self.stream, "GET", 1 << 20)).unwrap()
    }

    /// Tells whether the instance has ended the connection.
    pub(crate) fn is_ended(&mut self) -> bool {
        matches!(smol::block_on(self.stream.fill()), Ok(0) | Err(_))
    }

    /// Sends a request without a body and reads the response.
    pub(crate) fn get(&mut self, path: &str, lines: &str) -> WholeResponse {
        self.send(&format!(
            "GET {path} HTTP/1.1\r\nhost: a.example\r\n{lines}\r\n"
        ));
        self.read()
    }
}
