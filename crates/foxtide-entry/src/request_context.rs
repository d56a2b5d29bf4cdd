//! Context of a request: its service, the terms of its attempts and its
//! caller's region.

use crate::answer::Refusal;
use crate::clock::Clock;
use crate::dependencies::{
    Dependencies,
    Directory, //
};
use crate::lookup::{
    unknown_organisation,
    unknown_service, //
};
use crate::options::EntryOptions;
use crate::serve::ReceivedRequest;
use crate::traffic::{
    OrganisationTraffic,
    ServiceTraffic, //
};
use foxtide_core::events::{
    EventFields,
    RequestId, //
};
use foxtide_core::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::{
    Contract,
    Organisation, //
};
use foxtide_core::retry::RequestTerms;
use foxtide_http::name;
use http_types::headers::Headers;
use http_types::{
    Method,
    StatusCode, //
};
use std::sync::Arc;
use std::time::Duration;

/// Service and path that a request addresses.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) organisation: OrganisationId,
    pub(crate) service: ServiceId,
    /// Path at the upstream.
    pub(crate) path: String,
}

/// Attributes of a request that are known before it is sent.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    /// Request id.
    pub(crate) request: RequestId,
    pub(crate) organisation: OrganisationId,
    /// Traffic state of the organisation.
    pub(crate) traffic: Arc<OrganisationTraffic>,
    /// Traffic state of the service.
    pub(crate) service: Arc<ServiceTraffic>,
    /// Region of the caller, if known.
    pub(crate) origin: Option<RegionId>,
    pub(crate) method: Method,
    /// Terms that apply to all attempts.
    pub(crate) terms: RequestTerms,
}

impl RequestContext {
    /// Determines the context of a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation or service is unknown or the
    /// deadline is malformed.
    pub(crate) fn resolve<P: Dependencies>(
        deps: &P,
        options: &EntryOptions,
        received: &ReceivedRequest,
        target: &Target,
        request: RequestId,
    ) -> Result<Self, Refusal> {
        if !options.serves(&target.organisation) {
            return Err(unknown_organisation());
        }
        let traffic = deps.traffic().get(&target.organisation);
        let traffic = traffic.ok_or_else(unknown_organisation)?;
        let service = traffic.service(&target.service);
        let service = service.ok_or_else(unknown_service)?;
        let organisation = traffic.organisation();
        let contract = contract(&organisation, &target.service)?;
        let method = received.head.method;
        let requested = requested_deadline(&received.head.head.headers)?;
        let time = requested.unwrap_or_else(|| contract.deadline());
        let deadline = deps.clock().now() + time.min(options.deadline_max);
        let idempotent = contract.is_idempotent(method.as_ref(), &target.path);
        Ok(Self {
            origin: deps.directory().client_origin(received.peer.ip()),
            request,
            organisation: target.organisation.clone(),
            terms: service.terms(contract, idempotent, deadline),
            traffic,
            service,
            method,
        })
    }

    /// Returns the event fields that identify this request.
    pub(crate) fn event_fields(&self) -> EventFields {
        EventFields {
            organisation: Some(self.organisation.clone()),
            service: Some(self.service.id().clone()),
            request: Some(self.request.clone()),
            ..EventFields::default()
        }
    }
}

fn contract<'a>(
    organisation: &'a Organisation,
    service: &ServiceId,
) -> Result<&'a Contract, Refusal> {
    let service = organisation.service(service);
    Ok(&service.ok_or_else(unknown_service)?.contract)
}

fn requested_deadline(headers: &Headers) -> Result<Option<Duration>, Refusal> {
    let Some(values) = headers.get(name::DEADLINE_MS) else {
        return Ok(None);
    };
    let requested_ms = values.as_str().parse();
    let malformed = |_| Refusal::not_run(StatusCode::BadRequest, "malformed-deadline");
    requested_ms
        .map(|requested_ms| Some(Duration::from_millis(requested_ms)))
        .map_err(malformed)
}
