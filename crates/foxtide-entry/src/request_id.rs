//! Request ids.

use foxtide_core::events::RequestId;
use foxtide_http::name;
use http_types::headers::Headers;
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};
use uuid::Builder;

/// Size of the random part of a version 7 UUID (RFC 9562, section 5.7).
const RANDOM_BYTES: usize = 10;

/// Returns the request id sent by the caller if it is valid, or a new one.
pub(crate) fn request_id(headers: &Headers) -> RequestId {
    let given = headers.get(name::REQUEST_ID);
    let given = given.and_then(|values| values.as_str().parse().ok());
    given.unwrap_or_else(new_request_id)
}

/// Generates a unique request id.
///
/// It is not secret, so a generator without system calls suffices.
pub(crate) fn new_request_id() -> RequestId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.unwrap_or_default().as_millis();
    let ms = u64::try_from(ms).unwrap_or(u64::MAX);
    let mut random = [0; RANDOM_BYTES];
    random.fill_with(|| fastrand::u8(..));
    let uuid = Builder::from_unix_timestamp_millis(ms, &random).into_uuid();
    let text = uuid.simple().to_string();
    text.parse().expect("a UUID is a request id")
}
