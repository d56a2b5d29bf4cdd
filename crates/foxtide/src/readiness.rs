//! Tracks whether an instance is ready to serve callers.
//!
//! Readiness requires the newest configuration, the peers' positions and the
//! instance's part of the sold rates. Until then the instance is a joining
//! member that look-ups do not return.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

/// The readiness of an instance. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Readiness {
    shared: Arc<Flags>,
}

#[derive(Debug, Default)]
struct Flags {
    configured: AtomicBool,
    serving: AtomicBool,
}

impl Readiness {
    /// Marks the first configuration as applied.
    pub(crate) fn set_configured(&self) {
        self.shared.configured.store(true, Ordering::Release);
    }

    /// Returns whether the first configuration is applied.
    pub(crate) fn is_configured(&self) -> bool {
        self.shared.configured.load(Ordering::Acquire)
    }

    /// Marks the instance as serving. Returns whether it was not before.
    pub(crate) fn set_serving(&self) -> bool {
        !self.shared.serving.swap(true, Ordering::AcqRel)
    }

    /// Returns whether callers can be served.
    pub(crate) fn is_serving(&self) -> bool {
        self.shared.serving.load(Ordering::Acquire)
    }
}
