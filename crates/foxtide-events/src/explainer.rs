//! The explain log that all workers of a process share.
//!
//! Locks: one, around the log, held for a push or a copy and never together
//! with another.

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

/// Keeps why look-ups and requests went where they did; see
/// [`foxtide_core::explain`] for who calls what.
///
/// Clones share one log.
#[derive(Clone, Debug, Default)]
pub struct Explainer {
    log: Arc<Mutex<ExplainLog>>,
}

impl Explainer {
    /// Returns an empty one.
    pub fn new(options: ExplainOptions) -> Self {
        Self {
            log: Arc::new(Mutex::new(ExplainLog::new(options))),
        }
    }

    /// Tells whether a view of the service is due.
    pub fn is_view_due(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        now: WallTime,
    ) -> bool {
        self.log.lock().is_view_due(organisation, service, now)
    }

    /// Keeps a view; returns the number that decisions name it by.
    pub fn publish(&self, view: View) -> ViewId {
        self.log.lock().publish(view)
    }

    /// Keeps a decision.
    pub fn record(&self, decision: Decision) {
        self.log.lock().record(decision);
    }

    /// Returns what changed at the services since the last call, as events to
    /// record.
    pub fn changes(&self, now: WallTime) -> Vec<EventDraft> {
        self.log.lock().changes(now)
    }

    /// Explains the decisions that are asked for, the latest first.
    pub fn select(&self, filter: &ExplainFilter) -> Vec<Explanation> {
        self.log.lock().select(filter)
    }

    /// Returns the memory in use, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.log.lock().size_bytes()
    }
}
