//! The store's JSON forms and the encoding of its keys.

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

/// What a key is encoded in: all but the unreserved characters of RFC 3986,
/// section 2.3, and the `/` between its parts.
const KEY_ENCODE_SET: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Returns the path of a key.
pub(super) fn key_path(key: &str) -> String {
    format!("/v1/kv/{}", utf8_percent_encode(key, KEY_ENCODE_SET))
}

/// Returns a duration as the store writes it.
pub(super) fn format_duration(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// A key as the store tells it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct KeyForm {
    key: String,
    value: Option<String>,
    modify_index: u64,
    session: Option<String>,
}

impl KeyForm {
    /// Returns the entry, or what is wrong with its value.
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

/// What opening a session sends.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionRequest {
    /// The session's name, for people who look at the store.
    pub(super) name: String,
    /// How long it lives without a renewal.
    #[serde(rename = "TTL")]
    pub(super) ttl: String,
    /// What becomes of its keys when it ends.
    pub(super) behavior: &'static str,
    /// How long its keys cannot be taken after it lapsed. Zero: the leases'
    /// holders and takers wait out the skew themselves.
    pub(super) lock_delay: &'static str,
}

/// What opening a session answers.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct SessionForm {
    /// The session's name in calls.
    #[serde(rename = "ID")]
    pub(super) id: String,
}
