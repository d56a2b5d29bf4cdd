//! The latest configuration document of each organisation.

use crate::ids::OrganisationId;
use crate::membership::Announcement;
use crate::units::Revision;
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// One revision of an organisation's configuration, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The revision.
    pub revision: Revision,
    /// The encoded content, opaque to this module.
    pub bytes: Arc<[u8]>,
}

impl Document {
    /// Returns the announcement of this document to peers.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            organisation: self.organisation.clone(),
            revision: self.revision,
        }
    }
}

/// The documents of an instance; revisions only increase.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationTable {
    documents: BTreeMap<OrganisationId, Document>,
}

impl ConfigurationTable {
    /// Stores a document if it is newer than the stored one; returns whether it is.
    pub fn apply(&mut self, document: &Document) -> bool {
        let newer = self.is_newer(&document.announcement());
        if newer {
            let organisation = document.organisation.clone();
            self.documents.insert(organisation, document.clone());
        }
        newer
    }

    /// Returns whether an announced revision is newer than the stored one.
    pub fn is_newer(&self, announcement: &Announcement) -> bool {
        let held = self.documents.get(&announcement.organisation);
        held.is_none_or(|held| announcement.revision > held.revision)
    }

    /// Returns the document of an organisation.
    pub fn get(&self, organisation: &OrganisationId) -> Option<&Document> {
        self.documents.get(organisation)
    }

    /// Returns all documents, ordered by organisation.
    pub fn documents(&self) -> impl Iterator<Item = &Document> {
        self.documents.values()
    }

    /// Returns the stored revision of each organisation.
    pub fn revisions(&self) -> Vec<Announcement> {
        self.documents().map(Document::announcement).collect()
    }

    /// Returns a hash of the stored organisations and revisions.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for document in self.documents() {
            hasher.update(document.organisation.as_str().as_bytes());
            hasher.update(&document.revision.get().to_le_bytes());
        }
        hasher.digest()
    }
}
