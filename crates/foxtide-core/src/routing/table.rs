//! Finds routes by host and longest path prefix.

use super::{
    CallerLimits,
    OrganisationTable,
    Quota,
    Route,
    RouteDocument,
    ServiceTerms, //
};
use crate::ids::{
    OrganisationId,
    ServiceId, //
};
use crate::placement::HomedLoad;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Immutable index of a [`RouteDocument`].
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: u64,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, ServiceTerms>,
    limits: CallerLimits,
    /// `None` if callers need no key.
    organisations: Option<OrganisationTable>,
    quotas: HashMap<OrganisationId, Quota>,
    homed_load: HomedLoad,
}

impl RouteTable {
    /// Builds the index.
    pub fn new(document: RouteDocument) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in document.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| Reverse(route.path_prefix.len()));
        }
        let services = document.services.into_iter();
        let organisations = document.organisations.map(OrganisationTable::new);
        let quotas = organisations.as_ref().map(OrganisationTable::quotas);
        Self {
            version: document.version,
            by_host,
            services: services
                .map(|terms| (terms.service.clone(), terms))
                .collect(),
            limits: document.limits,
            homed_load: organisations
                .as_ref()
                .map(OrganisationTable::homed_load)
                .unwrap_or_default(),
            quotas: quotas.unwrap_or_default(),
            organisations,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let mut routes = self.by_host.get(host)?.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the organisations whose callers are accepted; `None` if callers need no
    /// key.
    pub fn organisations(&self) -> Option<&OrganisationTable> {
        self.organisations.as_ref()
    }

    /// Returns the quota of an organisation, if it has one.
    pub fn quota(&self, organisation: &OrganisationId) -> Option<Quota> {
        self.quotas.get(organisation).copied()
    }

    /// Returns the share of all requests that is restricted to home regions.
    pub fn homed_load(&self) -> &HomedLoad {
        &self.homed_load
    }

    /// Returns the settings of a service.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceTerms> {
        self.services.get(service)
    }

    /// Returns the longest cold duration of all services.
    pub fn cold_duration_max(&self) -> Option<Duration> {
        self.services
            .values()
            .map(|terms| terms.cold_duration)
            .max()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}
