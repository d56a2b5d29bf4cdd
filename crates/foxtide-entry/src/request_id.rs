//! The identity of a request.

use crate::http::name;
use foxtide_core::events::RequestId;
use http_types::headers::Headers;

/// Returns the identity that the caller gave, or a new one.
pub(crate) fn request_id(headers: &Headers) -> RequestId {
    let given = headers.get(name::REQUEST_ID);
    let given = given.and_then(|values| values.as_str().parse().ok());
    given.unwrap_or_else(new_request_id)
}

/// Returns a new identity, unique in all instances.
pub(crate) fn new_request_id() -> RequestId {
    let text = uuid::Uuid::now_v7().simple().to_string();
    // 32 hexadecimal digits are a valid identity.
    text.parse().expect("a UUID is a request id")
}
