//! The delays after which slow requests get a second attempt.

use foxtide_core::ids::UpstreamId;
use foxtide_core::placement::ObjectKey;
use foxtide_core::retry::{
    HedgeClass,
    HedgeDelays, //
};
use foxtide_core::routing::RequestKind;
use parking_lot::Mutex;
use std::time::Duration;

/// The delays of hedges, if hedging is enabled.
#[derive(Debug)]
pub(crate) struct Hedging {
    delays: Option<Mutex<HedgeDelays>>,
}

impl Hedging {
    /// Returns the state without any samples.
    pub(crate) fn new(is_enabled: bool) -> Self {
        Self {
            delays: is_enabled.then(Mutex::default),
        }
    }

    /// Returns the class of a request to an upstream; `None` if hedging is disabled.
    pub(crate) fn class(
        &self,
        kind: RequestKind,
        upstream: &UpstreamId,
        object: Option<ObjectKey>,
    ) -> Option<HedgeClass> {
        let delays = self.delays.as_ref()?;
        Some(delays.lock().class(kind, upstream, object))
    }

    /// Returns the time after which a request gets a hedge, if it is known.
    pub(crate) fn delay(&self, class: HedgeClass) -> Option<Duration> {
        self.delays.as_ref()?.lock().delay(class)
    }

    /// Records how long a request took, or had taken when it was cancelled.
    pub(crate) fn record(&self, class: HedgeClass, time: Duration) {
        if let Some(delays) = &self.delays {
            delays.lock().record(class, time);
        }
    }

    /// Records that an upstream served an object.
    pub(crate) fn record_served(&self, upstream: &UpstreamId, object: ObjectKey) {
        if let Some(delays) = &self.delays {
            delays.lock().record_served(upstream, object);
        }
    }
}
