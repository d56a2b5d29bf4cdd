//! Header names and hop-by-hop headers.

use http_types::headers::Headers;
use http_types::{
    Response,
    StatusCode, //
};
use std::sync::LazyLock;

/// Names of the headers that foxtide reads or writes.
pub mod name {
    /// Connection options.
    pub const CONNECTION: &str = "connection";
    /// Length of the body.
    pub const CONTENT_LENGTH: &str = "content-length";
    /// Type of the body.
    pub const CONTENT_TYPE: &str = "content-type";
    /// Expectation of the client, such as `100-continue`.
    pub const EXPECT: &str = "expect";
    /// Host of the target.
    pub const HOST: &str = "host";
    /// Target of a redirect.
    pub const LOCATION: &str = "location";
    /// Delay after which to retry, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
    /// Transfer coding of the body.
    pub const TRANSFER_ENCODING: &str = "transfer-encoding";

    /// Time left for a request, in milliseconds.
    pub const DEADLINE_MS: &str = "foxtide-deadline-ms";
    /// Key under which a request is executed at most once.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// Owner id of the answering process, for idempotency keys.
    pub const OWNER: &str = "foxtide-owner";
    /// What is known about the execution of a request that foxtide itself
    /// answers.
    pub const OUTCOME: &str = "foxtide-outcome";
    /// Request id.
    pub const REQUEST_ID: &str = "foxtide-request-id";
    /// State that an upstream announces, such as draining.
    pub const UPSTREAM_STATE: &str = "foxtide-upstream-state";
    /// Requests per second that an upstream accepts from all instances together.
    pub const RATE_LIMIT: &str = "foxtide-rate-limit";
    /// Load report of an upstream (Open Request Cost Aggregation).
    pub const LOAD_METRICS: &str = "endpoint-load-metrics";
}

/// Headers for the next hop only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    name::CONNECTION,
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    name::TRANSFER_ENCODING,
    "upgrade",
];

/// Returns an empty set of headers.
pub fn empty_headers() -> Headers {
    // http-types creates headers only as part of a message.
    static EMPTY: LazyLock<Headers> =
        LazyLock::new(|| AsRef::<Headers>::as_ref(&Response::new(StatusCode::Ok)).clone());
    EMPTY.clone()
}

/// Returns whether a header is for the next hop only.
pub(crate) fn is_hop_by_hop(header: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|known| known.eq_ignore_ascii_case(header))
}
