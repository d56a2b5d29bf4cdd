//! A request as received from its caller.

use super::passed_on::PassedOn;
use crate::dialect::{
    CallerHeaders,
    CallerIdentity,
    Credentials, //
};
use crate::memory::BodyReservation;
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

/// A whole request with the values of its headers.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) head: ForwardedRequest,
    pub(crate) body: Vec<u8>,
    /// The reservation of the body's memory.
    pub(crate) _memory: BodyReservation,
    /// The values of the caller's headers.
    pub(crate) headers: CallerHeaders,
    /// What another instance told that has passed the request on; `None` if it came from its
    /// caller.
    pub(crate) passed_on: Option<PassedOn>,
    /// When the whole head had arrived.
    pub(crate) received_at: MonotonicTime,
}

impl CallerRequest {
    /// Returns the request's identity for logs.
    pub(crate) fn id(&self) -> &str {
        self.headers.request_id.as_deref().unwrap_or("-")
    }

    /// Identifies the caller under one version of the configuration.
    ///
    /// On a public route a known key identifies the organisation as well; without one the
    /// caller is anonymous.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the route needs a key and the caller presents no known one.
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

    /// Returns the fingerprint of the request's content. It includes the organisation, so that
    /// a quarantine does not affect other organisations.
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

    /// Returns the key of the object that the request concerns, if it names one and the route's
    /// upstreams cache objects.
    pub(crate) fn object(&self, route: &Route) -> Option<ObjectKey> {
        let name = self.headers.object.as_deref();
        let name = name.filter(|_| route.has_affinity)?;
        Some(ObjectKey::of_kind(route.kind(), name))
    }
}
