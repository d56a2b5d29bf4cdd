//! Answers look-ups and readiness checks without an upstream.

use crate::dialect::Dialect;
use crate::directory;
use crate::shared::Shared;
use foxtide_http::ForwardedRequest;
use std::net::SocketAddr;

/// Answers a look-up or a readiness check at its address; `None` for other requests. Elsewhere the
/// same path may be a route's.
pub(super) fn answer_locally<D: Dialect>(
    shared: &Shared<D>,
    accepted_at: SocketAddr,
    head: &ForwardedRequest,
) -> Option<Vec<u8>> {
    let (dialect, addresses) = (&shared.dialect, &shared.addresses);
    if accepted_at == addresses.readiness && dialect.is_readiness_check(head) {
        return Some(local_response(shared.is_ready(), b""));
    }
    if accepted_at != addresses.directory {
        return None;
    }
    let lookup = dialect.lookup(head)?;
    metrics::counter!("foxtide_lookups_total").increment(1);
    let body = directory::answer(shared, &lookup);
    Some(local_response(body.is_some(), &body.unwrap_or_default()))
}

fn local_response(is_success: bool, body: &[u8]) -> Vec<u8> {
    let status = if is_success {
        "200 OK"
    } else {
        "503 Service Unavailable"
    };
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    message
}
