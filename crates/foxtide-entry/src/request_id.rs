//! The identity of a request.

use crate::http::name;
use http_types::headers::Headers;

const REQUEST_ID_MAX_BYTES: usize = 64;

/// Returns the identity that the caller gave, or a new one.
pub(crate) fn request_id(headers: &Headers) -> String {
    let given = headers.get(name::REQUEST_ID).map(|values| values.as_str());
    match given {
        Some(given) if is_request_id(given) => given.to_owned(),
        _ => new_request_id(),
    }
}

/// Returns a new identity, unique in all instances.
pub(crate) fn new_request_id() -> String {
    uuid::Uuid::now_v7().simple().to_string()
}

fn is_request_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=REQUEST_ID_MAX_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
