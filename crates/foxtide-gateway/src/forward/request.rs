//! A caller's whole request.

use crate::dialect::{
    CallerHeaders,
    CallerIdentity,
    Credentials, //
};
use crate::memory::Reserved;
use foxtide_core::ids::OrganisationId;
use foxtide_core::placement::ObjectKey;
use foxtide_core::poison::Fingerprint;
use foxtide_core::routing::{
    Route,
    RouteTable, //
};
use foxtide_core::time::MonotonicTime;
use foxtide_http::ForwardedRequest;
use std::sync::Arc;

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
    pub(crate) headers: CallerHeaders,
    /// When its head had arrived.
    pub(crate) received_at: MonotonicTime,
}

impl CallerRequest {
    /// Returns the request's identity for logs.
    pub(crate) fn id(&self) -> &str {
        self.headers.request_id.as_deref().unwrap_or("-")
    }

    /// Tells whose request it is, by one version of the configuration.
    ///
    /// A public route serves callers with and without a key; a key that is known counts
    /// there as well, so that the upstream is told whose request it is, and homes and
    /// quotas hold. One that is not known is no reason to turn the caller away where it
    /// could have come without.
    ///
    /// # Errors
    ///
    /// Fails with the reason where the caller has to show a key and shows none that is
    /// known.
    pub(crate) fn identify(
        &self,
        routes: &RouteTable,
        route: &Route,
    ) -> Result<CallerIdentity, &'static str> {
        let Some(organisations) = routes.organisations() else {
            return Ok(CallerIdentity::NotRequired);
        };
        let reason = match &self.headers.credentials {
            Credentials::Key(key) => match organisations.find(key) {
                Some(terms) => return Ok(CallerIdentity::Organisation(Arc::clone(terms))),
                None => "key_unknown",
            },
            Credentials::Missing => "key_missing",
            Credentials::Malformed => "key_unreadable",
        };
        if route.is_public {
            return Ok(CallerIdentity::Anonymous);
        }
        Err(reason)
    }

    /// Returns the identity of the request's content. What one organisation sends may end
    /// upstreams and be another's everyday request.
    pub(crate) fn fingerprint(&self, caller: &CallerIdentity) -> Fingerprint {
        let head = &self.head;
        let organisation = caller.organisation().map(|terms| &terms.organisation);
        Fingerprint::new(&[
            organisation.map_or("", OrganisationId::as_str).as_bytes(),
            head.method.as_bytes(),
            head.host.as_bytes(),
            head.target.as_bytes(),
            &self.body,
        ])
    }

    /// Returns the key of the object that the request concerns, if it names one.
    pub(crate) fn object(&self) -> Option<ObjectKey> {
        self.headers.object.as_deref().map(ObjectKey::new)
    }
}
