//! Derives events from changes of the mesh's members.

use foxtide_core::events::{
    EventCode,
    EventDraft,
    EventFields, //
};
use foxtide_core::idempotency::ProcessNumber;
use foxtide_core::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use foxtide_core::membership::{
    Member,
    MemberState, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// Tracks the members, zones and regions.
#[derive(Debug, Default)]
pub(crate) struct MemberEvents {
    previous: Option<Snapshot>,
}

#[derive(Debug)]
struct Snapshot {
    members: BTreeMap<InstanceId, MemberSnapshot>,
    unreachable_zones: BTreeSet<AvailabilityZoneId>,
    unreachable_regions: BTreeSet<RegionId>,
}

#[derive(Clone, Copy, Debug)]
struct MemberSnapshot {
    state: MemberState,
    process: ProcessNumber,
}

impl MemberEvents {
    /// Returns events for the changes since the last update. The first update
    /// returns none, because a starting instance learns all members at once.
    pub(crate) fn update(&mut self, members: &[Member]) -> Vec<EventDraft> {
        let snapshot = Snapshot::new(members);
        let Some(before) = &self.previous else {
            self.previous = Some(snapshot);
            return Vec::new();
        };
        let mut events = snapshot.member_changes(before, members);
        events.extend(snapshot.zone_changes(before));
        events.extend(snapshot.region_changes(before));
        self.previous = Some(snapshot);
        events
    }
}

impl Snapshot {
    fn new(members: &[Member]) -> Self {
        let known = members
            .iter()
            .map(|m| (m.instance.clone(), member_snapshot(m)));
        Self {
            members: known.collect(),
            unreachable_zones: unreachable_places(members, |member| &member.availability_zone),
            unreachable_regions: unreachable_places(members, |member| &member.region),
        }
    }

    fn member_changes(&self, before: &Self, members: &[Member]) -> Vec<EventDraft> {
        let changed = members.iter().filter_map(|member| {
            let was = before.members.get(&member.instance).copied();
            let code = code_of(was, member_snapshot(member))?;
            Some(member_event(code, member))
        });
        changed.collect()
    }

    fn zone_changes(&self, before: &Self) -> Vec<EventDraft> {
        let (new, old) = (&self.unreachable_zones, &before.unreachable_zones);
        let event = |code, zone: &AvailabilityZoneId| EventDraft {
            code,
            fields: EventFields::detail(format!("zone={zone}")),
        };
        let lost = new.difference(old);
        let lost = lost.map(|zone| event(EventCode::ZoneUnreachable, zone));
        let found = old.difference(new);
        let found = found.map(|zone| event(EventCode::ZoneReachable, zone));
        lost.chain(found).collect()
    }

    fn region_changes(&self, before: &Self) -> Vec<EventDraft> {
        let (new, old) = (&self.unreachable_regions, &before.unreachable_regions);
        let event = |code, region: &RegionId| EventDraft {
            code,
            fields: EventFields {
                region: Some(region.clone()),
                ..EventFields::default()
            },
        };
        let lost = new.difference(old);
        let lost = lost.map(|region| event(EventCode::RegionUnreachable, region));
        let found = old.difference(new);
        let found = found.map(|region| event(EventCode::RegionReachable, region));
        lost.chain(found).collect()
    }
}

/// Returns the places without a running member.
fn unreachable_places<P: Ord + Clone>(
    members: &[Member],
    place: impl Fn(&Member) -> &P,
) -> BTreeSet<P> {
    let running = members.iter().filter(|member| member.state.is_running());
    let running: BTreeSet<&P> = running.map(&place).collect();
    let places = members.iter().map(&place);
    places.filter(|it| !running.contains(it)).cloned().collect()
}

fn member_snapshot(member: &Member) -> MemberSnapshot {
    MemberSnapshot {
        state: member.state,
        process: member.process,
    }
}

fn code_of(before: Option<MemberSnapshot>, now: MemberSnapshot) -> Option<EventCode> {
    use MemberState::{
        Alive,
        Dead,
        Joining,
        Leaving,
        Suspect, //
    };
    let same_process = before.is_none_or(|before| before.process == now.process);
    if !same_process && now.state.is_usable() {
        return Some(EventCode::MemberReplaced);
    }
    match (before.map(|before| before.state), now.state) {
        (None | Some(Joining), Alive) => Some(EventCode::MemberJoined),
        (Some(Suspect | Dead), Alive) => Some(EventCode::MemberRefuted),
        (Some(Joining | Alive), Suspect) => Some(EventCode::MemberSuspected),
        (Some(Joining | Alive | Suspect), Leaving) => Some(EventCode::MemberLeaving),
        (Some(Joining | Alive | Suspect), Dead) => Some(EventCode::MemberFailed),
        (Some(Leaving), Dead) => Some(EventCode::MemberLeft),
        _ => None,
    }
}

fn member_event(code: EventCode, member: &Member) -> EventDraft {
    let fields = EventFields {
        region: Some(member.region.clone()),
        peer: Some(member.instance.clone()),
        detail: format!(
            "zone={} state={} incarnation={}",
            member.availability_zone,
            member.state,
            member.incarnation.get()
        ),
        ..EventFields::default()
    };
    EventDraft { code, fields }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::membership::Incarnation;

    fn member(name: &str, state: MemberState) -> Member {
        let region = name.split('-').next().unwrap();
        Member {
            instance: name.parse().unwrap(),
            region: region.parse().unwrap(),
            availability_zone: format!("{region}-a").parse().unwrap(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            caller_address: ([127, 0, 0, 1], 2).into(),
            incarnation: Incarnation::new(7),
            process: ProcessNumber::new(1),
            state,
        }
    }

    fn codes(events: Vec<EventDraft>) -> Vec<EventCode> {
        events.into_iter().map(|event| event.code).collect()
    }

    #[test]
    fn verify_changes_become_events() {
        use MemberState::{
            Alive,
            Dead,
            Leaving,
            Suspect, //
        };
        let mut events = MemberEvents::default();
        let three = |one, two| {
            let steady = member("khomas-3", Alive);
            [member("khomas-1", one), member("khomas-2", two), steady]
        };
        assert!(events.update(&three(Alive, Alive)[..1]).is_empty());
        let joined = codes(events.update(&three(Alive, Alive)));
        assert_eq!(joined, [EventCode::MemberJoined; 2]);
        let changed = codes(events.update(&three(Suspect, Leaving)));
        let expected = [EventCode::MemberSuspected, EventCode::MemberLeaving];
        assert_eq!(changed, expected);
        let ended = codes(events.update(&three(Dead, Dead)));
        let expected = [EventCode::MemberFailed, EventCode::MemberLeft];
        assert_eq!(ended, expected);
        assert!(events.update(&three(Dead, Dead)).is_empty());
        let mut replaced = three(Dead, Alive);
        replaced[1].process = ProcessNumber::new(2);
        let back = codes(events.update(&replaced));
        assert_eq!(back, [EventCode::MemberReplaced]);
    }

    #[test]
    fn verify_region_changes_are_recorded_once() {
        use MemberState::{
            Alive,
            Dead, //
        };
        let mut events = MemberEvents::default();
        let both = |state| [member("khomas-1", Alive), member("oshana-1", state)];
        events.update(&both(Alive));
        let lost = codes(events.update(&both(Dead)));
        let expected = [
            EventCode::MemberFailed,
            EventCode::ZoneUnreachable,
            EventCode::RegionUnreachable,
        ];
        assert_eq!(lost, expected);
        assert!(events.update(&both(Dead)).is_empty());
        let back = codes(events.update(&both(Alive)));
        let expected = [
            EventCode::MemberRefuted,
            EventCode::ZoneReachable,
            EventCode::RegionReachable,
        ];
        assert_eq!(back, expected);
    }
}
