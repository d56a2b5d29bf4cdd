//! Fingerprints that detect the reuse of a key for another request.

use xxhash_rust::xxh3::Xxh3Default;

/// A digest of what a request asks for.
///
/// A repeated key with another fingerprint is rejected
/// (draft-ietf-httpapi-idempotency-key-header, section 2.7). The digest includes the
/// organisation, so that no organisation receives the response of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request's parts: organisation, service, method, path
    /// with query, and body if available.
    ///
    /// The digest includes the length of each part, so that the boundaries between parts
    /// matter.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut digest = Xxh3Default::new();
        for part in parts {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest128())
    }
}
