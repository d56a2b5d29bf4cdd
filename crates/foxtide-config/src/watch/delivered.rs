//! Tracks reported documents, so that each revision is reported once.

use super::WatchReport;
use crate::change;
use foxtide_core::ids::OrganisationId;
use foxtide_core::organisation::Organisation;
use foxtide_core::store::{
    StoreEntry,
    StoreIndex, //
};
use foxtide_core::units::Revision;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Indices and revisions that were reported.
#[derive(Debug, Default)]
pub(super) struct DeliveredVersions {
    indices: BTreeMap<String, StoreIndex>,
    revisions: BTreeMap<OrganisationId, Revision>,
}

impl DeliveredVersions {
    /// Records an entry and returns a report if it is new.
    pub(super) fn update(&mut self, entry: &StoreEntry) -> Option<WatchReport> {
        let previous = self.indices.insert(entry.key.clone(), entry.index);
        if previous == Some(entry.index) {
            return None;
        }
        match change::decode(&entry.key, &entry.value) {
            Ok(document) => self.report_if_newer(document),
            Err(error) => Some(WatchReport::Invalid {
                key: entry.key.clone(),
                cause: error.to_string(),
            }),
        }
    }

    fn report_if_newer(&mut self, document: Organisation) -> Option<WatchReport> {
        let known = self.revisions.get(&document.organisation);
        if known.is_some_and(|known| *known >= document.revision) {
            return None;
        }
        let organisation = document.organisation.clone();
        self.revisions.insert(organisation, document.revision);
        Some(WatchReport::Configuration(Arc::new(document)))
    }
}
