//! A connection to an upstream.

use foxtide_http::BufferedStream;

/// A connection to an upstream, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) stream: BufferedStream,
    /// Unique in this process.
    number: u64,
    requests: u32,
}

/// Which connection an attempt used, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConnectionUse {
    /// The number of the connection; 0 if none was open.
    pub(crate) number: u64,
    /// The requests that it had carried, with that of the attempt.
    pub(crate) requests: u32,
}

impl UpstreamConnection {
    /// Returns a new connection.
    pub(crate) fn new(stream: BufferedStream, number: u64) -> Self {
        Self {
            stream,
            number,
            requests: 0,
        }
    }

    /// Records that a request is sent on it.
    pub(crate) fn begin_request(&mut self) -> ConnectionUse {
        self.requests += 1;
        ConnectionUse {
            number: self.number,
            requests: self.requests,
        }
    }
}
