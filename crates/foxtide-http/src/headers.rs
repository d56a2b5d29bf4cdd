//! Names of headers, and those that end at each hop.

use http_types::headers::Headers;
use http_types::{
    Response,
    StatusCode, //
};
use std::sync::LazyLock;

/// Names of the headers that foxtide reads or writes.
pub mod name {
    /// Options of one connection.
    pub const CONNECTION: &str = "connection";
    /// The size of a body.
    pub const CONTENT_LENGTH: &str = "content-length";
    /// The type of a body.
    pub const CONTENT_TYPE: &str = "content-type";
    /// For what a sender waits before it sends the body.
    pub const EXPECT: &str = "expect";
    /// The host that is meant.
    pub const HOST: &str = "host";
    /// Where to go instead.
    pub const LOCATION: &str = "location";
    /// When to come back, in seconds.
    pub const RETRY_AFTER: &str = "retry-after";
    /// How a body without a stated size is sent.
    pub const TRANSFER_ENCODING: &str = "transfer-encoding";

    /// The time left for a request, in milliseconds.
    pub const DEADLINE_MS: &str = "foxtide-deadline-ms";
    /// The key under which a request runs at most once.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The name of the answering process, for idempotency keys.
    pub const OWNER: &str = "foxtide-owner";
    /// What is known of a request that foxtide itself answers.
    pub const OUTCOME: &str = "foxtide-outcome";
    /// The identity of a request.
    pub const REQUEST_ID: &str = "foxtide-request-id";
    /// What an upstream says of itself.
    pub const UPSTREAM_STATE: &str = "foxtide-upstream-state";
    /// What an upstream says of its load (Open Request Cost Aggregation).
    pub const LOAD_METRICS: &str = "endpoint-load-metrics";
}

/// The headers that are for the next hop alone (RFC 9110, section 7.6.1).
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
    // http-types makes headers together with a message only.
    static EMPTY: LazyLock<Headers> =
        LazyLock::new(|| AsRef::<Headers>::as_ref(&Response::new(StatusCode::Ok)).clone());
    EMPTY.clone()
}

/// Tells whether a header is for the next hop alone.
pub(crate) fn is_hop_by_hop(header: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|known| known.eq_ignore_ascii_case(header))
}
