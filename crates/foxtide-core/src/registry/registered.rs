//! An upstream in the table, and what a change to the table meant.

use super::Registration;
use crate::ids::UpstreamId;
use crate::time::MonotonicTime;
use std::sync::Arc;

/// An upstream that may get requests.
#[derive(Clone, Debug)]
pub struct Registered {
    /// What it said of itself.
    pub registration: Arc<Registration>,
    /// Until when it is cold.
    pub cold_until: MonotonicTime,
}

impl Registered {
    /// Returns the upstream's name.
    pub fn upstream(&self) -> &UpstreamId {
        &self.registration.upstream
    }

    /// Tells whether the upstream is cold.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }
}

/// What a change to the table meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// Nothing that decisions depend on.
    None,
    /// An upstream may get requests from now on.
    Joined(UpstreamId),
    /// An upstream has started again under its name: what was known of it has ended, and
    /// it may get requests unless its availability zone gets none.
    Restarted(UpstreamId),
    /// An upstream is leaving or gone.
    Left(UpstreamId),
    /// An upstream is missing, but the store was away: it is kept for now.
    Missing(UpstreamId),
}
