//! Telling one request from another that carries the same key.

use xxhash_rust::xxh3::Xxh3Default;

/// A digest of what a request asks for.
///
/// A key that comes again with another fingerprint was reused for another
/// request, and is refused (draft-ietf-httpapi-idempotency-key-header,
/// section 2.7). The organisation belongs into it, so that none is shown an
/// answer of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request's parts: organisation, service,
    /// method, path with query, and body where it is at hand.
    ///
    /// The parts' lengths count too, so that moving a byte from one part to
    /// the next changes the fingerprint.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut digest = Xxh3Default::new();
        for part in parts {
            digest.update(&(part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        Self(digest.digest128())
    }
}
