//! The regions to which a request is bound.

use crate::journal::Journal;
use foxtide_core::ids::RegionId;
use foxtide_core::routing::is_home;

/// The regions that may serve a request under one version of the configuration.
#[derive(Clone, Debug)]
pub(super) struct Homes {
    /// Empty for all regions.
    pub(super) regions: Vec<RegionId>,
    /// The version of the configuration.
    pub(super) version: u64,
}

impl Homes {
    /// Tells whether the request may be sent to a process in a region.
    pub(super) fn permit(&self, region: &RegionId) -> bool {
        is_home(&self.regions, region)
    }

    /// Reports that a process outside the homes was chosen for a request, which is a fault of the
    /// chooser.
    pub(super) fn report(&self, journal: &Journal, request: &str, to: &str, region: &RegionId) {
        journal.send_outside_homes(request, to, region, &self.regions);
        debug_assert!(false, "{to} of {region} was chosen outside the homes");
    }
}
