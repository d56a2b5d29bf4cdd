//! Registered upstreams and changes of the registry.

use super::Registration;
use crate::ids::UpstreamId;
use crate::time::MonotonicTime;
use std::sync::Arc;

/// A registered upstream.
#[derive(Clone, Debug)]
pub struct Registered {
    /// Its registration.
    pub registration: Arc<Registration>,
    /// End of its cold phase.
    pub cold_until: MonotonicTime,
}

impl Registered {
    /// Returns the upstream's name.
    pub fn upstream(&self) -> &UpstreamId {
        &self.registration.upstream
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        now < self.cold_until
    }
}

/// Effect of a change to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// No effect on request placement.
    None,
    /// An upstream became eligible for requests.
    Joined(UpstreamId),
    /// An upstream restarted under its name. State of its earlier incarnation is
    /// obsolete; it is eligible unless its availability zone is evacuated.
    Restarted(UpstreamId),
    /// An upstream is draining or was removed.
    Left(UpstreamId),
    /// An upstream is missing after an outage of the store and not yet removed.
    Missing(UpstreamId),
}
