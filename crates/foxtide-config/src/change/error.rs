//! Why a change was not accepted, or not known to be.

use super::diff::Difference;
use foxtide_core::ids::{
    ChangeId,
    OrganisationId, //
};
use foxtide_core::store::StoreError;
use foxtide_core::units::Revision;

/// Why a change was not accepted, or not known to be.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ChangeError {
    /// The document is invalid: nothing was written.
    #[error(transparent)]
    Invalid(#[from] crate::Error),
    /// The store refused or was not reached: nothing was written.
    #[error(transparent)]
    Store(StoreError),
    /// There is no such organisation.
    #[error("there is no organisation `{0}`")]
    NotFound(OrganisationId),
    /// Somebody else's change came first: nothing was written.
    #[error("not accepted: {}", .0.summary())]
    Conflict(Box<Conflict>),
    /// The write may or may not have taken effect, and reading it back failed.
    ///
    /// The same command can be run again safely: it finds the change if it
    /// took effect.
    #[error("change {change_id} unsettled: {cause}; it is safe to run the same command again")]
    Unsettled {
        /// The change whose outcome is unknown.
        change_id: ChangeId,
        /// The failure of the latest call.
        cause: StoreError,
    },
}

/// Two changes that were made to the same revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// The revision that both started from.
    pub base: Revision,
    /// The revision that is accepted now.
    pub accepted: Revision,
    /// Who made the accepted change, and what it did.
    pub accepted_by: String,
    /// What was changed by the accepted change since.
    pub theirs: Vec<Difference>,
    /// What the refused change was to change.
    pub ours: Vec<Difference>,
    /// Whether the change that follows the base is known by name, which shows
    /// that this one was never written.
    pub is_successor_known: bool,
    /// The paths that both change.
    pub conflicting_paths: Vec<String>,
}

impl Conflict {
    /// Tells the conflict in one line.
    pub fn summary(&self) -> String {
        let paths = match self.conflicting_paths.is_empty() {
            true => "no field is changed by both".to_owned(),
            false => format!("both change {}", self.conflicting_paths.join(", ")),
        };
        format!(
            "{} was made meanwhile ({}) while this change started from {}; {paths}",
            self.accepted, self.accepted_by, self.base
        )
    }
}
