//! Configured routes, services, organisations and limits.

use super::{
    OrganisationEntry,
    RequestKind, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::units::ByteSize;
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDocument {
    /// The version; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Settings of services.
    pub services: Vec<ServiceTerms>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// The organisations whose callers are accepted; `None` if callers need no key.
    pub organisations: Option<Vec<OrganisationEntry>>,
}

/// A route for requests of one host with one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Maximum time until the response.
    pub timeout: Duration,
    /// Target latency.
    pub latency_objective: Duration,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Maximum number of upstreams to which a request is sent.
    pub attempts_max: u32,
    /// Services that share the requests by weight.
    pub services: Vec<WeightedService>,
    /// Whether upstreams serve recently used objects faster.
    pub has_affinity: bool,
    /// Regions that may serve the requests; empty for all.
    pub home_regions: Vec<RegionId>,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns the kind of the route's requests.
    pub fn kind(&self) -> RequestKind {
        RequestKind::of_route(&self.name)
    }
}

/// A service and its weight in a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTerms {
    /// The service.
    pub service: ServiceId,
    /// Maximum connections to an upstream from all instances.
    pub connections_max: u32,
    /// Time for which an upstream is cold after its start.
    pub cold_duration: Duration,
    /// Rate that a cold upstream accepts from all instances, in requests a second.
    pub cold_rate_rps: f64,
}

/// Limits on the size and duration of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the head.
    pub head: ByteSize,
    /// Maximum size of the body.
    pub body: ByteSize,
    /// Maximum time for the head, from its first byte.
    pub head_time: Duration,
    /// Time for which an idle connection is kept open.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns common limits of HTTP servers, used until a document is loaded.
    fn default() -> Self {
        Self {
            head: ByteSize::from_bytes(16 * 1_024),
            body: ByteSize::from_bytes(1_024 * 1_024),
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}
