//! A caller's whole request.

use crate::dialect::CallerFacts;
use crate::memory::Reserved;
use foxtide_core::placement::ObjectKey;
use foxtide_core::time::MonotonicTime;
use foxtide_http::ForwardedRequest;

/// A whole request with what its caller says of it.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// The head.
    pub(crate) head: ForwardedRequest,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// The memory that the body takes.
    pub(crate) _memory: Reserved,
    /// What the caller says of it.
    pub(crate) facts: CallerFacts,
    /// When its head had arrived.
    pub(crate) received_at: MonotonicTime,
}

impl CallerRequest {
    /// Returns the request's identity for logs.
    pub(crate) fn id(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or("-")
    }

    /// Returns the key of the object that the request concerns, if it names one.
    pub(crate) fn object(&self) -> Option<ObjectKey> {
        self.facts.object.as_deref().map(ObjectKey::new)
    }
}
