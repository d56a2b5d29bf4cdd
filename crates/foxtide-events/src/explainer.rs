//! Thread-safe explain log, shared by all workers of a process.
//!
//! Its one lock is held for a push or a copy and never together with another.

use foxtide_core::events::EventDraft;
use foxtide_core::explain::{
    Decision,
    ExplainFilter,
    ExplainLog,
    ExplainOptions,
    Explanation,
    View,
    ViewId, //
};
use foxtide_core::ids::{
    OrganisationId,
    ServiceId, //
};
use foxtide_core::time::WallTime;
use parking_lot::Mutex;
use std::sync::Arc;

/// Records the reasons for routing decisions; see [`foxtide_core::explain`].
///
/// Clones share one log.
#[derive(Clone, Debug, Default)]
pub struct Explainer {
    log: Arc<Mutex<ExplainLog>>,
}

impl Explainer {
    /// Returns an empty explain log.
    pub fn new(options: ExplainOptions) -> Self {
        Self {
            log: Arc::new(Mutex::new(ExplainLog::new(options))),
        }
    }

    /// Returns whether a new view of the service is due.
    pub fn is_view_due(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        now: WallTime,
    ) -> bool {
        self.log.lock().is_view_due(organisation, service, now)
    }

    /// Records a view; returns the id by which decisions refer to it.
    pub fn publish(&self, view: View) -> ViewId {
        self.log.lock().publish(view)
    }

    /// Records a decision.
    pub fn record(&self, decision: Decision) {
        self.log.lock().record(decision);
    }

    /// Returns the changes of services since the last call, as events to record.
    pub fn changes(&self, now: WallTime) -> Vec<EventDraft> {
        self.log.lock().take_changes(now)
    }

    /// Returns explanations of the decisions that match a filter, latest first.
    pub fn select(&self, filter: &ExplainFilter) -> Vec<Explanation> {
        self.log.lock().select(filter)
    }

    /// Returns the memory in use, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.log.lock().size_bytes()
    }
}
