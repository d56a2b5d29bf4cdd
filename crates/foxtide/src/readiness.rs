//! Whether an instance has all that it needs to serve callers.
//!
//! It needs the newest configuration, its peers' positions and its part of the
//! sold rates. Until then it is a member that joins: look-ups do not name it.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};

/// How far an instance has come; clones share it.
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
    /// Notes that the newest configuration that can be had is in force.
    pub(crate) fn set_configured(&self) {
        self.shared.configured.store(true, Ordering::Release);
    }

    /// Tells whether a configuration is in force.
    pub(crate) fn is_configured(&self) -> bool {
        self.shared.configured.load(Ordering::Acquire)
    }

    /// Notes that callers can be served; tells whether that is new.
    pub(crate) fn set_serving(&self) -> bool {
        !self.shared.serving.swap(true, Ordering::AcqRel)
    }

    /// Tells whether callers can be served.
    pub(crate) fn is_serving(&self) -> bool {
        self.shared.serving.load(Ordering::Acquire)
    }
}
