//! Parses request paths on the caller listener.

use foxtide_core::ids::{
    OrganisationId,
    ServiceId, //
};

pub(crate) const LOOKUP_PATH: &str = "/v1/lookup";

/// Destination of a request on the caller listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// A look-up.
    Lookup,
    /// A request for a service.
    Service {
        organisation: OrganisationId,
        service: ServiceId,
        /// Path at the upstream.
        path: String,
    },
    /// No such path.
    Unknown,
}

impl Route {
    pub(crate) fn parse(path: &str) -> Self {
        if path == LOOKUP_PATH {
            return Self::Lookup;
        }
        Self::parse_service(path).unwrap_or(Self::Unknown)
    }

    fn parse_service(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix('/')?.splitn(3, '/');
        let organisation = parts.next()?.parse().ok()?;
        let service = parts.next()?.parse().ok()?;
        let rest = parts.next().unwrap_or_default();
        Some(Self::Service {
            organisation,
            service,
            path: format!("/{rest}"),
        })
    }
}
