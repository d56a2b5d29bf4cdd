//! What the configuration says of a request.

use crate::dialect::CallerIdentity;
use foxtide_core::ids::RegionId;
use foxtide_core::routing::{
    Route,
    common_homes, //
};
use std::sync::Arc;

/// The route of a request and whose it is, by one version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct RouteMatch {
    /// The route.
    pub(crate) route: Arc<Route>,
    /// Whose request it is.
    pub(crate) caller: CallerIdentity,
    /// That version.
    pub(crate) version: u64,
}

impl RouteMatch {
    /// Returns the rank of the request: the organisation's goes before the route's.
    pub(super) fn priority(&self) -> u32 {
        let organisation = self.caller.organisation();
        let priority = organisation.and_then(|terms| terms.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the only regions that may serve the request, empty for all; nothing where
    /// route and organisation have no place in common.
    pub(super) fn home_regions(&self) -> Option<Vec<RegionId>> {
        let organisation = self.caller.organisation();
        let homes = organisation.map_or(&[][..], |terms| &terms.home_regions);
        common_homes(&self.route.home_regions, homes)
    }
}
