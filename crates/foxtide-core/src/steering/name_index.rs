//! Maps names of regions and services to their indices in a configuration.

use super::shift::Row;
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::organisation::Organisation;
use crate::units::Share;
use std::collections::BTreeMap;

/// A row keyed by region.
pub(crate) type NamedRow = BTreeMap<RegionId, Share>;

/// The indices of regions and services, by name.
#[derive(Clone, Debug)]
pub(crate) struct NameIndex {
    /// The regions, in the order of the configuration.
    pub(crate) regions: Vec<RegionId>,
    /// The services with their indices, sorted by name.
    pub(crate) services: Vec<(ServiceId, usize)>,
}

impl NameIndex {
    pub(crate) fn new(organisation: &Organisation) -> Self {
        let regions = organisation.regions.iter();
        let services = organisation.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.service.clone(), index));
        let mut names = Self {
            regions: regions.map(|region| region.region.clone()).collect(),
            services: services.collect(),
        };
        names.services.sort();
        names
    }

    pub(crate) fn region(&self, id: &RegionId) -> Option<usize> {
        self.regions.iter().position(|region| region == id)
    }

    pub(crate) fn service(&self, id: &ServiceId) -> Option<usize> {
        let found = self.services.binary_search_by(|(name, _)| name.cmp(id));
        found.ok().map(|index| self.services[index].1)
    }

    /// Converts a row to one keyed by region.
    pub(crate) fn named(&self, row: &Row) -> NamedRow {
        let shares = self.regions.iter().cloned().zip(row);
        let shares = shares.map(|(region, share)| (region, Share::clamped(*share)));
        shares.collect()
    }

    /// Converts a row keyed by region to one in the order of the configuration.
    pub(crate) fn indexed(&self, row: &NamedRow) -> Row {
        let share = |region| row.get(region).map_or(0.0, |share| share.get());
        self.regions.iter().map(share).collect()
    }
}
