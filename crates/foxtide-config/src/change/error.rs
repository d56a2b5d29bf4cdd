//! Errors of changes.

use super::diff::Difference;
use foxtide_core::ids::{
    ChangeId,
    OrganisationId, //
};
use foxtide_core::store::StoreError;
use foxtide_core::units::Revision;

/// An error of a change.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ChangeError {
    /// The document is invalid; nothing was written.
    #[error(transparent)]
    Invalid(#[from] crate::Error),
    /// The store refused or was unreachable; nothing was written.
    #[error(transparent)]
    Store(StoreError),
    /// The organisation does not exist.
    #[error("there is no organisation `{0}`")]
    NotFound(OrganisationId),
    /// Another change was accepted first; nothing was written.
    #[error("not accepted: {}", .0.summary())]
    Conflict(Box<Conflict>),
    /// The outcome of the write is unknown. The change can safely be made again.
    #[error("change {change_id} unsettled: {cause}; it is safe to run the same command again")]
    Unsettled {
        /// Identifier of the change.
        change_id: ChangeId,
        /// Error of the latest call.
        cause: StoreError,
    },
}

/// A change based on a revision that is no longer current.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Revision that both changes are based on.
    pub base: Revision,
    /// Current revision.
    pub accepted: Revision,
    /// Author and summary of the accepted change.
    pub accepted_by: String,
    /// Differences of the current document from the base.
    pub theirs: Vec<Difference>,
    /// Differences of the rejected document from the base.
    pub ours: Vec<Difference>,
    /// Whether the history has the change that followed the base, which proves that the
    /// rejected one was never written.
    pub is_successor_known: bool,
    /// Paths that both changed.
    pub conflicting_paths: Vec<String>,
}

impl Conflict {
    /// Returns a description in one line.
    pub fn summary(&self) -> String {
        let paths = match self.conflicting_paths.is_empty() {
            true => "no field is changed by both".to_owned(),
            false => format!("both change {}", self.conflicting_paths.join(", ")),
        };
        format!(
            "{} was accepted meanwhile ({}), this change is based on {}; {paths}",
            self.accepted, self.accepted_by, self.base
        )
    }
}
