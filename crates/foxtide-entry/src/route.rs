//! Which request a target names.

use foxtide_core::ids::{
    OrganisationId,
    ServiceId, //
};

/// The path of look-ups.
pub(crate) const LOOKUP_PATH: &str = "/v1/lookup";

/// What a target on the caller listener names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// A look-up.
    Lookup,
    /// A request for a service.
    Service {
        /// The organisation.
        organisation: OrganisationId,
        /// The service.
        service: ServiceId,
        /// The path at the upstream.
        path: String,
    },
    /// Nothing that exists.
    Unknown,
}

impl Route {
    /// Parses a path.
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
