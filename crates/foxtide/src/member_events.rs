//! Events about members, from what the mesh believes of them.

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

/// Tells what changed between two looks at the members.
#[derive(Debug, Default)]
pub(crate) struct MemberEvents {
    seen: Option<Seen>,
}

/// What one look showed.
#[derive(Debug)]
struct Seen {
    members: BTreeMap<InstanceId, Known>,
    lost_zones: BTreeSet<AvailabilityZoneId>,
    lost_regions: BTreeSet<RegionId>,
}

/// What one look showed of a member.
#[derive(Clone, Copy, Debug)]
struct Known {
    state: MemberState,
    process: ProcessNumber,
}

impl MemberEvents {
    /// Returns what changed since the last look; nothing at the first one, at
    /// which a starting instance hears of all members at once.
    pub(crate) fn look(&mut self, members: &[Member]) -> Vec<EventDraft> {
        let seen = Seen::new(members);
        let Some(before) = &self.seen else {
            self.seen = Some(seen);
            return Vec::new();
        };
        let mut events = seen.changed_members(before, members);
        events.extend(seen.changed_zones(before));
        events.extend(seen.changed_regions(before));
        self.seen = Some(seen);
        events
    }
}

impl Seen {
    fn new(members: &[Member]) -> Self {
        let known = members.iter().map(|m| (m.instance.clone(), known(m)));
        Self {
            members: known.collect(),
            lost_zones: lost(members, |member| &member.availability_zone),
            lost_regions: lost(members, |member| &member.region),
        }
    }

    fn changed_members(&self, before: &Self, members: &[Member]) -> Vec<EventDraft> {
        let changed = members.iter().filter_map(|member| {
            let was = before.members.get(&member.instance).copied();
            let code = code_of(was, known(member))?;
            Some(member_event(code, member))
        });
        changed.collect()
    }

    fn changed_zones(&self, before: &Self) -> Vec<EventDraft> {
        let (new, old) = (&self.lost_zones, &before.lost_zones);
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

    fn changed_regions(&self, before: &Self) -> Vec<EventDraft> {
        let (new, old) = (&self.lost_regions, &before.lost_regions);
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

/// Returns the places all of whose members are dead.
fn lost<P: Ord + Clone>(members: &[Member], place: impl Fn(&Member) -> &P) -> BTreeSet<P> {
    let running = members.iter().filter(|member| member.state.is_running());
    let running: BTreeSet<&P> = running.map(&place).collect();
    let places = members.iter().map(&place);
    places.filter(|it| !running.contains(it)).cloned().collect()
}

fn known(member: &Member) -> Known {
    Known {
        state: member.state,
        process: member.process,
    }
}

fn code_of(before: Option<Known>, now: Known) -> Option<EventCode> {
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
        assert!(events.look(&three(Alive, Alive)[..1]).is_empty());
        let joined = codes(events.look(&three(Alive, Alive)));
        assert_eq!(joined, [EventCode::MemberJoined; 2]);
        let changed = codes(events.look(&three(Suspect, Leaving)));
        let expected = [EventCode::MemberSuspected, EventCode::MemberLeaving];
        assert_eq!(changed, expected);
        let ended = codes(events.look(&three(Dead, Dead)));
        let expected = [EventCode::MemberFailed, EventCode::MemberLeft];
        assert_eq!(ended, expected);
        assert!(events.look(&three(Dead, Dead)).is_empty());
        let mut replaced = three(Dead, Alive);
        replaced[1].process = ProcessNumber::new(2);
        let back = codes(events.look(&replaced));
        assert_eq!(back, [EventCode::MemberReplaced]);
    }

    #[test]
    fn verify_a_lost_region_is_told_once_and_so_is_its_return() {
        use MemberState::{
            Alive,
            Dead, //
        };
        let mut events = MemberEvents::default();
        let both = |state| [member("khomas-1", Alive), member("oshana-1", state)];
        events.look(&both(Alive));
        let lost = codes(events.look(&both(Dead)));
        let expected = [
            EventCode::MemberFailed,
            EventCode::ZoneUnreachable,
            EventCode::RegionUnreachable,
        ];
        assert_eq!(lost, expected);
        assert!(events.look(&both(Dead)).is_empty());
        let back = codes(events.look(&both(Alive)));
        let expected = [
            EventCode::MemberRefuted,
            EventCode::ZoneReachable,
            EventCode::RegionReachable,
        ];
        assert_eq!(back, expected);
    }
}
