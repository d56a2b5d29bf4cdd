//! Bounded log of decisions and of the views they are based on.

use super::changes::ServiceChanges;
use super::decision::hash;
use super::{
    Attempt,
    Decision,
    DecisionKind,
    Rule,
    View,
    ViewId, //
};
use crate::events::{
    EventDraft,
    RequestId, //
};
use crate::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use crate::time::WallTime;
use serde::Serialize;
use std::collections::VecDeque;
use std::mem::size_of;
use std::sync::Arc;
use std::time::Duration;

/// Capacities of an [`ExplainLog`].
#[derive(Clone, Copy, Debug)]
pub struct ExplainOptions {
    /// The number of decisions that followed the plan; 16,384 by default.
    pub usual: usize,
    /// The number of other decisions; 4,096 by default.
    pub unusual: usize,
    /// The number of views; 512 by default.
    pub views: usize,
    /// The shortest time between two views of a service; 1 s by default.
    pub view_interval: Duration,
}

impl Default for ExplainOptions {
    fn default() -> Self {
        Self {
            usual: 16_384,
            unusual: 4_096,
            views: 512,
            view_interval: Duration::from_secs(1),
        }
    }
}

/// A filter for decisions; the default selects all.
#[derive(Clone, Debug, Default)]
pub struct ExplainFilter {
    /// Only those of this request. Ids are compared by a 64-bit hash.
    pub request: Option<RequestId>,
    /// Only those of this kind.
    pub kind: Option<DecisionKind>,
    /// Only those of this organisation whose views are still stored.
    pub organisation: Option<OrganisationId>,
    /// Only those of this service whose views are still stored.
    pub service: Option<ServiceId>,
    /// Only those that deviated from the plan.
    pub unusual: bool,
    /// At most this many, the latest.
    pub limit: Option<usize>,
}

impl ExplainFilter {
    fn passes(&self, decision: &Decision, view: Option<&Arc<View>>) -> bool {
        self.kind.is_none_or(|wanted| decision.kind == wanted)
            && matches(&self.organisation, view.map(|view| &view.organisation))
            && matches(&self.service, view.map(|view| &view.service))
    }
}

fn matches<T: PartialEq>(wanted: &Option<T>, value: Option<&T>) -> bool {
    wanted.as_ref().is_none_or(|wanted| value == Some(wanted))
}

/// The explanation of a decision.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The kind of the decision.
    pub kind: DecisionKind,
    /// The rule that decided.
    pub rule: Rule,
    /// A description of the rule.
    pub because: &'static str,
    /// The time of the decision.
    pub at_us: WallTime,
    /// The region chosen, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionId>,
    /// The first attempts, in order.
    pub attempts: Vec<Attempt>,
    /// The total number of attempts.
    pub attempts_made: u8,
    /// The age of the view at the decision, in milliseconds, to which the age of
    /// each figure adds.
    pub view_age_ms: u64,
    /// The view; `None` if it was evicted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub view: Option<Arc<View>>,
}

/// The latest decisions of one process.
#[derive(Clone, Debug, Default)]
pub struct ExplainLog {
    options: ExplainOptions,
    usual: VecDeque<Decision>,
    unusual: VecDeque<Decision>,
    views: VecDeque<Arc<View>>,
    published: u32,
    changes: ServiceChanges,
}

impl ExplainLog {
    /// Returns an empty log.
    pub fn new(options: ExplainOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Returns whether a view of the service is due.
    pub fn is_view_due(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        now: WallTime,
    ) -> bool {
        let same = |v: &&Arc<View>| v.organisation == *organisation && v.service == *service;
        let latest = self.views.iter().rev().find(same);
        latest.is_none_or(|view| now.since(view.taken_us) >= self.options.view_interval)
    }

    /// Adds a view; returns its id for the decisions based on it.
    pub fn publish(&mut self, view: View) -> ViewId {
        self.changes.compare(&view);
        self.published = self.published.wrapping_add(1);
        push_bounded(&mut self.views, Arc::new(view), self.options.views);
        ViewId(self.published)
    }

    /// Adds a decision.
    pub fn record(&mut self, decision: Decision) {
        if decision.is_unusual() {
            if let Some(view) = self.find_view(decision.view).cloned() {
                self.changes.record(&decision, &view);
            }
            push_bounded(&mut self.unusual, decision, self.options.unusual);
        } else {
            push_bounded(&mut self.usual, decision, self.options.usual);
        }
    }

    /// Returns events for the changes of the services since the last call.
    pub fn take_changes(&mut self, now: WallTime) -> Vec<EventDraft> {
        self.changes.take(now)
    }

    /// Returns the explanations of the selected decisions, the latest first.
    pub fn select(&self, filter: &ExplainFilter) -> Vec<Explanation> {
        let limit = filter.limit.unwrap_or(usize::MAX);
        let request = filter.request.as_ref().map(hash);
        let wanted = |decision: &&Decision| {
            request.is_none_or(|wanted| decision.request_hash == wanted)
                && filter.passes(decision, self.find_view(decision.view))
        };
        let usual = self.usual.iter().rev().filter(wanted);
        let usual = usual.take(if filter.unusual { 0 } else { limit });
        let unusual = self.unusual.iter().rev().filter(wanted).take(limit);
        let mut found: Vec<&Decision> = usual.chain(unusual).collect();
        found.sort_by_key(|decision| std::cmp::Reverse(decision.at_us));
        found.truncate(limit);
        found.into_iter().map(|d| self.explain(d)).collect()
    }

    /// Returns the memory in use, in bytes, without the shared names.
    pub fn size_bytes(&self) -> usize {
        let decisions = self.usual.capacity() + self.unusual.capacity();
        let views: usize = self.views.iter().map(|view| view.size_bytes()).sum();
        decisions * size_of::<Decision>() + views
    }

    fn explain(&self, decision: &Decision) -> Explanation {
        let view = self.find_view(decision.view);
        let age = view.map(|view| decision.at_us.since(view.taken_us));
        Explanation {
            kind: decision.kind,
            rule: decision.rule,
            because: decision.rule.text(),
            at_us: decision.at_us,
            region: decision.region.clone(),
            attempts: decision.attempts.iter().flatten().cloned().collect(),
            attempts_made: decision.attempts_made,
            view_age_ms: age.map_or(0, duration_ms),
            view: view.cloned(),
        }
    }

    fn find_view(&self, id: ViewId) -> Option<&Arc<View>> {
        let newer_views = usize::try_from(self.published.wrapping_sub(id.0)).ok()?;
        let index = self.views.len().checked_sub(newer_views.checked_add(1)?)?;
        self.views.get(index)
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, capacity: usize) {
    // Popping first keeps the queue from growing past its capacity.
    if queue.len() >= capacity {
        queue.pop_front();
    }
    queue.push_back(item);
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
