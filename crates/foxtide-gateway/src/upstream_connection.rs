//! A connection to an upstream.

use foxtide_http::{
    BufferedStream,
    CarriedRequests, //
};

/// A connection to an upstream, which carries one request at a time.
#[derive(Debug)]
pub(crate) struct UpstreamConnection {
    pub(crate) stream: BufferedStream,
    /// Unique in this process.
    number: u64,
    requests: u32,
    carried: CarriedRequests,
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
            carried: CarriedRequests::default(),
        }
    }

    /// Tells whether a request may be sent on it. One of the same identity may not: a late second
    /// response to the earlier one would pass for its response.
    pub(crate) fn may_carry(&self, request_id: Option<&str>) -> bool {
        request_id.is_none_or(|request_id| !self.carried.contains(request_id))
    }

    /// Records that a request was rejected on it.
    pub(crate) fn record_rejected(&mut self, request_id: Option<&str>) {
        if let Some(request_id) = request_id {
            self.carried.record_rejected(request_id);
        }
    }

    /// Tells whether it may carry further requests after those that were rejected.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.carried.is_full()
    }

    /// Records that a request is sent on it.
    pub(crate) fn begin_request(&mut self, request_id: Option<&str>) -> ConnectionUse {
        self.requests += 1;
        if let Some(request_id) = request_id {
            self.carried.record(request_id);
        }
        ConnectionUse {
            number: self.number,
            requests: self.requests,
        }
    }
}
