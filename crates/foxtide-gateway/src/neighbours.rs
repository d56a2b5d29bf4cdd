//! What this instance knows of the instances to which it passes requests on.

use foxtide_core::ids::InstanceId;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

/// How long an instance that could not be reached gets no requests.
const AVOIDED_TIME: Duration = Duration::from_secs(1);

/// The instances that could not be reached, and the newest configuration they served under.
#[derive(Debug, Default)]
pub(crate) struct Neighbours {
    avoided: Mutex<HashMap<InstanceId, Instant>>,
    /// Callers that were served under a version are not served under an older one afterwards.
    version: AtomicU64,
}

impl Neighbours {
    /// Records that an instance could not be reached.
    pub(crate) fn avoid(&self, instance: &InstanceId) {
        let now = Instant::now();
        let mut avoided = self.avoided.lock();
        avoided.retain(|_, until| now < *until);
        avoided.insert(instance.clone(), now + AVOIDED_TIME);
    }

    /// Tells whether an instance could not be reached recently.
    pub(crate) fn is_avoided(&self, instance: &InstanceId) -> bool {
        let until = self.avoided.lock().get(instance).copied();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records the version of the configuration under which an instance replied.
    pub(crate) fn record_version(&self, version: u64) {
        self.version.fetch_max(version, Ordering::AcqRel);
    }

    /// Returns the newest version under which an instance replied; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }
}
