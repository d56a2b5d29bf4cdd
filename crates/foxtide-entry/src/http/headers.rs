//! Names of headers, and those that end at each hop.

use http_types::headers::Headers;
use http_types::{
    Response,
    StatusCode, //
};
use std::sync::LazyLock;

/// Names of the headers that foxtide reads or writes.
pub(crate) mod name {
    pub(crate) const CONNECTION: &str = "connection";
    pub(crate) const CONTENT_LENGTH: &str = "content-length";
    pub(crate) const CONTENT_TYPE: &str = "content-type";
    pub(crate) const EXPECT: &str = "expect";
    pub(crate) const HOST: &str = "host";
    pub(crate) const LOCATION: &str = "location";
    pub(crate) const RETRY_AFTER: &str = "retry-after";
    pub(crate) const TRANSFER_ENCODING: &str = "transfer-encoding";

    /// The time left for a request, in milliseconds.
    pub(crate) const DEADLINE_MS: &str = "foxtide-deadline-ms";
    /// The key under which a request runs at most once.
    pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The name of the answering process, for idempotency keys.
    pub(crate) const OWNER: &str = "foxtide-owner";
    /// What is known of a request that foxtide itself answers.
    pub(crate) const OUTCOME: &str = "foxtide-outcome";
    /// The identity of a request.
    pub(crate) const REQUEST_ID: &str = "foxtide-request-id";
    /// What an upstream says of itself.
    pub(crate) const UPSTREAM_STATE: &str = "foxtide-upstream-state";
    /// What an upstream says of its load (Open Request Cost Aggregation).
    pub(crate) const LOAD_METRICS: &str = "endpoint-load-metrics";
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
pub(crate) fn no_headers() -> Headers {
    // http-types makes headers together with a message only.
    static EMPTY: LazyLock<Headers> =
        LazyLock::new(|| AsRef::<Headers>::as_ref(&Response::new(StatusCode::Ok)).clone());
    EMPTY.clone()
}

/// Tells whether a header is for the next hop alone.
pub(super) fn is_hop_by_hop(header: &str) -> bool {
    HOP_BY_HOP
        .iter()
        .any(|known| known.eq_ignore_ascii_case(header))
}
