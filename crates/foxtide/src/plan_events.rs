//! Derives events from configuration changes: planned moves, drains, and added
//! or removed upstreams.

use foxtide_core::events::{
    EventCode,
    EventDraft,
    EventFields, //
};
use foxtide_core::ids::{
    DrainId,
    MoveId,
    OrganisationId,
    ServiceId,
    UpstreamId, //
};
use foxtide_core::organisation::{
    Drain,
    DrainTarget,
    Organisation,
    PlannedMove, //
};
use foxtide_core::time::WallTime;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::sync::Arc;

/// Tracks the plans of all organisations.
#[derive(Debug, Default)]
pub(crate) struct PlanEvents {
    previous: BTreeMap<OrganisationId, Snapshot>,
}

#[derive(Debug, Default)]
struct Snapshot {
    moves: BTreeMap<MoveId, Phase>,
    drains: BTreeSet<DrainId>,
    upstreams: BTreeSet<(ServiceId, UpstreamId)>,
}

/// The phase of a planned move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Paused,
    Completed,
}

impl PlanEvents {
    /// Returns events for the changes since the last update. A new organisation
    /// yields none.
    pub(crate) fn update(
        &mut self,
        organisations: &BTreeMap<OrganisationId, Arc<Organisation>>,
        wall: WallTime,
    ) -> Vec<EventDraft> {
        let mut events = Vec::new();
        for (id, organisation) in organisations {
            let snapshot = Snapshot::new(organisation, wall);
            if let Some(before) = self.previous.get(id) {
                events.extend(snapshot.changes(before, organisation));
            }
            self.previous.insert(id.clone(), snapshot);
        }
        self.previous.retain(|id, _| organisations.contains_key(id));
        events
    }
}

impl Snapshot {
    fn new(organisation: &Organisation, wall: WallTime) -> Self {
        let moves = organisation.moves.iter();
        let started = |drain: &&Drain| drain.start_us <= wall;
        let drains = organisation.drains.iter().filter(started);
        let services = organisation.services.iter();
        let upstreams = services.flat_map(|service| {
            let names = service.upstreams.iter().map(|one| one.upstream.clone());
            names.map(|name| (service.service.clone(), name))
        });
        Self {
            moves: moves
                .map(|one| (one.id.clone(), phase(one, wall)))
                .collect(),
            drains: drains.map(|drain| drain.id.clone()).collect(),
            upstreams: upstreams.collect(),
        }
    }

    fn changes(&self, before: &Self, organisation: &Organisation) -> Vec<EventDraft> {
        let mut events = self.move_events(before, organisation);
        events.extend(self.drain_events(before, organisation));
        let added = self.upstreams.difference(&before.upstreams);
        events.extend(added.map(|it| upstream_event(EventCode::UpstreamAdded, it)));
        let removed = before.upstreams.difference(&self.upstreams);
        events.extend(removed.map(|it| upstream_event(EventCode::UpstreamRemoved, it)));
        for event in &mut events {
            event.fields.organisation = Some(organisation.organisation.clone());
        }
        events
    }

    fn move_events(&self, before: &Self, organisation: &Organisation) -> Vec<EventDraft> {
        let changed = organisation.moves.iter().filter_map(|planned| {
            let now = self.moves.get(&planned.id)?;
            let was = before.moves.get(&planned.id).unwrap_or(&Phase::Waiting);
            let code = code_of(*was, *now)?;
            Some(move_event(code, planned))
        });
        changed.collect()
    }

    fn drain_events(&self, before: &Self, organisation: &Organisation) -> Vec<EventDraft> {
        let is_new =
            |drain: &&Drain| self.drains.contains(&drain.id) && !before.drains.contains(&drain.id);
        let new = organisation.drains.iter().filter(is_new);
        new.filter_map(drain_event).collect()
    }
}

fn phase(planned: &PlannedMove, wall: WallTime) -> Phase {
    let until = planned.paused_us.map_or(wall, |paused| paused.min(wall));
    let moved = until.since(planned.start_us).as_secs_f64() * planned.pace_share_per_s.get();
    if wall < planned.start_us {
        Phase::Waiting
    } else if moved >= planned.share.get() {
        Phase::Completed
    } else if planned.paused_us.is_some_and(|paused| paused <= wall) {
        Phase::Paused
    } else {
        Phase::Running
    }
}

fn code_of(was: Phase, now: Phase) -> Option<EventCode> {
    if was == now {
        return None;
    }
    match now {
        Phase::Waiting => None,
        Phase::Running => Some(EventCode::MoveStarted),
        Phase::Paused => Some(EventCode::MovePaused),
        Phase::Completed => Some(EventCode::MoveCompleted),
    }
}

fn move_event(code: EventCode, planned: &PlannedMove) -> EventDraft {
    let detail = format!(
        "move={} from={} to={} share={} pace={}",
        planned.id, planned.from, planned.to, planned.share, planned.pace_share_per_s
    );
    EventDraft {
        code,
        fields: EventFields {
            service: Some(planned.service.clone()),
            ..EventFields::detail(detail)
        },
    }
}

/// Returns the event of a drain of a region or zone. The balancer reports
/// drains of upstreams, and the member events those of instances.
fn drain_event(drain: &Drain) -> Option<EventDraft> {
    let (region, place) = match &drain.target {
        DrainTarget::Region(region) => (Some(region.clone()), format!("region={region}")),
        DrainTarget::AvailabilityZone(zone) => (None, format!("zone={zone}")),
        DrainTarget::Upstream { .. } | DrainTarget::Instance(_) => return None,
    };
    let detail = format!("drain={} {place}", drain.id);
    Some(EventDraft {
        code: EventCode::RegionDraining,
        fields: EventFields {
            region,
            ..EventFields::detail(detail)
        },
    })
}

fn upstream_event(code: EventCode, (service, upstream): &(ServiceId, UpstreamId)) -> EventDraft {
    EventDraft {
        code,
        fields: EventFields {
            service: Some(service.clone()),
            upstream: Some(upstream.clone()),
            ..EventFields::default()
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn organisation(moves: &str, drains: &str, upstream: &str) -> Organisation {
        let text = format!(
            r#"{{"schema_version":1,"organisation":"hamutenya","revision":1,"change_id":"c1",
            "regions":[],"links":[],"moves":[{moves}],"drains":[{drains}],
            "services":[{{"service":"viewer","contract":{{"homes":[],"spill_limit_share":0.2,
            "shift_cap_share_per_s":0.02,"drain_window_s":30,"deadline_ms":2000,
            "priority":"headroom","idempotent_methods":[]}},"upstreams":[{{
            "upstream":"{upstream}","address":"127.0.0.1:1","region":"khomas",
            "availability_zone":"khomas-a","slots":4,"connections":360}}]}}]}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    fn changes(events: &mut PlanEvents, document: &Organisation, at_s: u64) -> Vec<EventCode> {
        let document = Arc::new(document.clone());
        let organisations = [(document.organisation.clone(), document)].into();
        let recorded = events.update(&organisations, WallTime::from_ms(at_s * 1_000));
        recorded.into_iter().map(|event| event.code).collect()
    }

    #[test]
    fn verify_move_phases_are_recorded() {
        // Moves 10% of the traffic at 1% per second from 100 s on.
        let planned = r#"{"move":"m1","service":"viewer","from":"khomas","to":"oshana",
            "share":0.1,"pace_share_per_s":0.01,"start_us":100000000}"#;
        let document = organisation(planned, "", "v-1");
        let mut events = PlanEvents::default();
        assert_eq!(changes(&mut events, &document, 99), []);
        assert_eq!(
            changes(&mut events, &document, 100),
            [EventCode::MoveStarted]
        );
        assert_eq!(changes(&mut events, &document, 109), []);
        let mut paused = document.clone();
        paused.moves[0].paused_us = Some(WallTime::from_ms(109_500));
        assert_eq!(changes(&mut events, &paused, 120), [EventCode::MovePaused]);
        assert_eq!(
            changes(&mut events, &document, 121),
            [EventCode::MoveCompleted]
        );
    }

    #[test]
    fn verify_drains_and_upstreams_are_recorded() {
        let drain = r#"{"drain":"d1","target":{"region":"khomas"},"start_us":5000000}"#;
        let mut events = PlanEvents::default();
        let before = organisation("", drain, "v-1");
        assert_eq!(changes(&mut events, &before, 4), []);
        assert_eq!(
            changes(&mut events, &before, 5),
            [EventCode::RegionDraining]
        );
        let recorded = changes(&mut events, &organisation("", drain, "v-2"), 6);
        let expected = [EventCode::UpstreamAdded, EventCode::UpstreamRemoved];
        assert_eq!(recorded, expected);
    }
}
