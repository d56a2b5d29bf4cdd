//! Events for changes of a service, derived from its views and decisions.
//!
//! Decisions on single requests are aggregated: the events report when spilling
//! or shedding starts, and when it ends after how many requests.

use super::episodes::Episodes;
use super::{
    Candidate,
    CandidateName,
    Decision,
    FigureKind,
    View, //
};
use crate::events::{
    EventCode,
    EventDraft,
    EventFields, //
};
use crate::ids::{
    OrganisationId,
    RegionId,
    ServiceId, //
};
use crate::time::WallTime;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// The smallest change of a region's weight that is reported.
const WEIGHT_STEP: f32 = 0.05;

/// Weights that differ by less count as equal.
const WEIGHT_PRECISION: f32 = 0.001;

/// The capacity of the queue; later changes are dropped.
const QUEUED_MAX: usize = 256;

/// Detects changes of all services of an instance.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceChanges {
    services: BTreeMap<(OrganisationId, ServiceId), Service>,
    queued: Vec<EventDraft>,
}

/// The last reported state of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    weights: BTreeMap<RegionId, f32>,
    without_upstreams: BTreeSet<RegionId>,
    is_empty: bool,
    episodes: Episodes,
}

impl ServiceChanges {
    /// Compares a view with the last reported state of its service.
    pub(super) fn compare(&mut self, view: &View) {
        let key = (view.organisation.clone(), view.service.clone());
        let service = self.services.entry(key).or_default();
        let mut changes = service.compare_upstreams(&view.candidates);
        changes.extend(service.compare_weights(&view.candidates));
        self.queue(&view.organisation, &view.service, changes);
    }

    /// Counts a decision that deviated from the plan.
    pub(super) fn record(&mut self, decision: &Decision, view: &View) {
        let key = (view.organisation.clone(), view.service.clone());
        let service = self.services.entry(key).or_default();
        let started = service.episodes.record(decision);
        self.queue(&view.organisation, &view.service, started);
    }

    /// Returns the changes since the last call.
    pub(super) fn take(&mut self, now: WallTime) -> Vec<EventDraft> {
        let mut ended = Vec::new();
        for ((organisation, id), service) in &mut self.services {
            let changes = service.episodes.take_ended(now);
            ended.push((organisation.clone(), id.clone(), changes));
        }
        for (organisation, service, changes) in ended {
            self.queue(&organisation, &service, changes);
        }
        std::mem::take(&mut self.queued)
    }

    fn queue(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        changes: Vec<EventDraft>,
    ) {
        for mut change in changes {
            change.fields.organisation = Some(organisation.clone());
            change.fields.service = Some(service.clone());
            if self.queued.len() < QUEUED_MAX {
                self.queued.push(change);
            }
        }
    }
}

impl Service {
    /// Returns events for regions, and the service, that lost their last usable
    /// upstream or regained one.
    fn compare_upstreams(&mut self, candidates: &[Candidate]) -> Vec<EventDraft> {
        let usable = usable_regions(candidates);
        let without: BTreeSet<RegionId> = usable
            .iter()
            .filter(|(_, usable)| !**usable)
            .map(|(region, _)| region.clone())
            .collect();
        let is_empty = !usable.is_empty() && without.len() == usable.len();
        let failed = without.difference(&self.without_upstreams);
        let mut changes: Vec<_> = failed
            .map(|r| region_event(EventCode::RegionFailed, r))
            .collect();
        let recovered = self.without_upstreams.difference(&without);
        changes.extend(recovered.map(|r| region_event(EventCode::RegionRecovered, r)));
        if is_empty != self.is_empty {
            let code = if is_empty {
                EventCode::ServiceEmpty
            } else {
                EventCode::ServiceUsable
            };
            let fields = EventFields::default();
            changes.push(EventDraft { code, fields });
        }
        self.without_upstreams = without;
        self.is_empty = is_empty;
        changes
    }

    /// Returns an event if the weights moved by a step or reached the plan.
    fn compare_weights(&mut self, candidates: &[Candidate]) -> Option<EventDraft> {
        let weights = figures(candidates, FigureKind::WeightShare);
        let planned = figures(candidates, FigureKind::PlannedShare);
        if weights.is_empty() {
            return None;
        }
        if self.weights.is_empty() {
            self.weights = weights;
            return None;
        }
        let moved = max_difference(&weights, &self.weights);
        let is_settled = max_difference(&weights, &planned) < WEIGHT_PRECISION;
        if moved < WEIGHT_STEP && !(is_settled && moved >= WEIGHT_PRECISION) {
            return None;
        }
        let shares = weights
            .iter()
            .map(|(region, share)| format!("{region}={share:.3}"));
        let detail =
            shares.collect::<Vec<_>>().join(" ") + if is_settled { " as planned" } else { "" };
        self.weights = weights;
        Some(EventDraft {
            code: EventCode::WeightsShifted,
            fields: EventFields::detail(detail),
        })
    }
}

/// Returns for each region with upstreams whether one is not excluded.
fn usable_regions(candidates: &[Candidate]) -> BTreeMap<RegionId, bool> {
    let mut usable = BTreeMap::new();
    for candidate in candidates {
        let is_upstream = matches!(candidate.name, CandidateName::Upstream(_));
        if let Some(region) = candidate.region.as_ref().filter(|_| is_upstream) {
            *usable.entry(region.clone()).or_insert(false) |= candidate.excluded.is_none();
        }
    }
    usable
}

/// Returns the figures of one kind by region.
fn figures(candidates: &[Candidate], kind: FigureKind) -> BTreeMap<RegionId, f32> {
    let figure = |candidate: &Candidate| {
        let CandidateName::Region(region) = &candidate.name else {
            return None;
        };
        let found = candidate.figures.iter().find(|figure| figure.kind == kind);
        found.map(|figure| (region.clone(), figure.value))
    };
    candidates.iter().filter_map(figure).collect()
}

fn max_difference(one: &BTreeMap<RegionId, f32>, other: &BTreeMap<RegionId, f32>) -> f32 {
    let regions: BTreeSet<&RegionId> = one.keys().chain(other.keys()).collect();
    let share = |of: &BTreeMap<RegionId, f32>, region| of.get(region).copied().unwrap_or(0.0);
    let differences = regions
        .into_iter()
        .map(|r| (share(one, r) - share(other, r)).abs());
    differences.fold(0.0, f32::max)
}

fn region_event(code: EventCode, region: &RegionId) -> EventDraft {
    let fields = EventFields {
        region: Some(region.clone()),
        ..EventFields::default()
    };
    EventDraft { code, fields }
}
