//! JSON bodies of the store's API and the encoding of its keys.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtide_core::store::{
    SessionId,
    StoreEntry,
    StoreIndex, //
};
use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    utf8_percent_encode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Characters of keys that are percent-encoded: all but `/` and the unreserved characters
/// of RFC 3986, section 2.3.
const KEY_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

pub(super) fn key_path(key: &str) -> String {
    format!("/v1/kv/{}", utf8_percent_encode(key, KEY_ENCODE_SET))
}

/// Formats a duration for the store.
pub(super) fn format_duration(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// A key with its value and session, as answered.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KeyForm {
    key: String,
    value: Option<String>,
    modify_index: u64,
    session: Option<String>,
}

impl KeyForm {
    /// Converts to an entry, or returns the fault of the value.
    pub(super) fn into_entry(self) -> Result<StoreEntry, String> {
        let text = self.value.unwrap_or_default();
        let value = STANDARD
            .decode(text)
            .map_err(|error| format!("value of `{}`: {error}", self.key))?;
        Ok(StoreEntry {
            key: self.key,
            value,
            index: StoreIndex::new(self.modify_index),
            session: self.session.map(SessionId::new),
        })
    }
}

/// Body of a request that opens a session.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionRequest {
    /// Name of the session, for operators.
    pub(super) name: String,
    /// Lifetime without a renewal.
    #[serde(rename = "TTL")]
    pub(super) ttl: String,
    /// What happens to its keys when it ends.
    pub(super) behavior: &'static str,
    /// Time for which its keys cannot be acquired after it expired. Zero: holders and
    /// acquirers of leases allow for clock skew themselves.
    pub(super) lock_delay: &'static str,
}

/// Answer to opening a session.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionForm {
    /// Identifier of the session.
    #[serde(rename = "ID")]
    pub(super) id: String,
}
