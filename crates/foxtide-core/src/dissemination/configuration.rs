//! The newest document of each organisation that an instance holds.

use crate::ids::OrganisationId;
use crate::membership::Announcement;
use crate::units::Revision;
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// One revision of an organisation's configuration, in its stored form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Whose configuration it is.
    pub organisation: OrganisationId,
    /// Its revision.
    pub revision: Revision,
    /// Its content, which this module does not look into.
    pub bytes: Arc<[u8]>,
}

impl Document {
    /// Returns what says that this document can be had.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            organisation: self.organisation.clone(),
            revision: self.revision,
        }
    }
}

/// The documents that an instance holds; a revision never goes back.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTable {
    documents: BTreeMap<OrganisationId, Document>,
}

impl ConfigurationTable {
    /// Takes a document in where it is newer than the one held, and returns
    /// whether it was.
    pub fn apply(&mut self, document: &Document) -> bool {
        let newer = self.is_newer(&document.announcement());
        if newer {
            let organisation = document.organisation.clone();
            self.documents.insert(organisation, document.clone());
        }
        newer
    }

    /// Returns whether an announced revision is newer than the one held.
    pub fn is_newer(&self, announcement: &Announcement) -> bool {
        let held = self.documents.get(&announcement.organisation);
        held.is_none_or(|held| announcement.revision > held.revision)
    }

    /// Returns the document of an organisation.
    pub fn get(&self, organisation: &OrganisationId) -> Option<&Document> {
        self.documents.get(organisation)
    }

    /// Returns all documents by organisation.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns the revision held of each organisation.
    pub fn revisions(&self) -> Vec<Announcement> {
        self.documents().map(Document::announcement).collect()
    }

    /// Returns a hash over organisations and revisions.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for document in self.documents() {
            hasher.update(document.organisation.as_str().as_bytes());
            hasher.update(&document.revision.get().to_le_bytes());
        }
        hasher.digest()
    }
}
