//! The configuration that applies to a request.

use super::homes::Homes;
use crate::dialect::CallerIdentity;
use foxtide_core::routing::{
    Route,
    common_homes, //
};
use std::sync::Arc;

/// The route and the caller of a request under one version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct RouteMatch {
    /// The route.
    pub(crate) route: Arc<Route>,
    /// The identity of the caller.
    pub(crate) caller: CallerIdentity,
    /// The version of the configuration.
    pub(crate) version: u64,
}

impl RouteMatch {
    /// Returns the request's priority: the organisation's, else the route's.
    pub(super) fn priority(&self) -> u32 {
        let organisation = self.caller.organisation();
        let priority = organisation.and_then(|terms| terms.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the regions that may serve the request; `None` if route and organisation have none
    /// in common.
    pub(super) fn homes(&self) -> Option<Homes> {
        let organisation = self.caller.organisation();
        let homes = organisation.map_or(&[][..], |terms| &terms.home_regions);
        let regions = common_homes(&self.route.home_regions, homes)?;
        Some(Homes {
            regions,
            version: self.version,
        })
    }
}
