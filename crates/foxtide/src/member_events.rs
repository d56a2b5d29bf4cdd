//! Events about members, from what the mesh believes of them.

use foxtide_core::events::{EventCode, EventFields};
use foxtide_core::ids::InstanceId;
use foxtide_core::membership::{Member, MemberState};
use std::collections::BTreeMap;

/// Tells what changed between two looks at the members.
#[derive(Debug, Default)]
pub(crate) struct MemberEvents {
    seen: Option<BTreeMap<InstanceId, MemberState>>,
}

/// An event about one member.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct MemberEvent {
    pub(crate) code: EventCode,
    pub(crate) fields: EventFields,
}

impl MemberEvents {
    /// Returns what changed since the last look; nothing at the first one, at
    /// which a starting instance hears of all members at once.
    pub(crate) fn look(&mut self, members: &[Member]) -> Vec<MemberEvent> {
        let states = members.iter().map(|m| (m.instance.clone(), m.state));
        let states: BTreeMap<_, _> = states.collect();
        let Some(before) = self.seen.replace(states) else {
            return Vec::new();
        };
        let changed = members.iter().filter_map(|member| {
            let code = code_of(before.get(&member.instance).copied(), member.state)?;
            Some(event(code, member))
        });
        changed.collect()
    }
}

fn code_of(before: Option<MemberState>, now: MemberState) -> Option<EventCode> {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    match (before, now) {
        (None, Alive) => Some(EventCode::MemberJoined),
        (Some(Suspect), Alive) => Some(EventCode::MemberRefuted),
        (Some(Leaving | Dead), Alive) => Some(EventCode::MemberReplaced),
        (Some(Alive), Suspect) => Some(EventCode::MemberSuspected),
        (Some(Alive | Suspect), Leaving) => Some(EventCode::MemberLeaving),
        (Some(Alive | Suspect), Dead) => Some(EventCode::MemberFailed),
        (Some(Leaving), Dead) => Some(EventCode::MemberLeft),
        _ => None,
    }
}

fn event(code: EventCode, member: &Member) -> MemberEvent {
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
    MemberEvent { code, fields }
}

#[cfg(test)]
mod tests {
    use super::*;
    use foxtide_core::idempotency::ProcessNumber;
    use foxtide_core::membership::Incarnation;

    fn member(name: &str, state: MemberState) -> Member {
        Member {
            instance: name.parse().unwrap(),
            region: "khomas".parse().unwrap(),
            availability_zone: "khomas-a".parse().unwrap(),
            peer_address: ([127, 0, 0, 1], 1).into(),
            caller_address: ([127, 0, 0, 1], 2).into(),
            process: ProcessNumber::new(1),
            incarnation: Incarnation::new(7),
            state,
        }
    }

    fn codes(events: Vec<MemberEvent>) -> Vec<EventCode> {
        events.into_iter().map(|event| event.code).collect()
    }

    #[test]
    fn verify_changes_become_events() {
        use MemberState::{Alive, Dead, Leaving, Suspect};
        let mut events = MemberEvents::default();
        assert!(events.look(&[member("k-1", Alive)]).is_empty());
        let both = |one, other| [member("k-1", one), member("k-2", other)];
        let joined = events.look(&both(Alive, Alive));
        assert_eq!(codes(joined), [EventCode::MemberJoined]);
        let changed = events.look(&both(Suspect, Leaving));
        let expected = [EventCode::MemberSuspected, EventCode::MemberLeaving];
        assert_eq!(codes(changed), expected);
        let ended = events.look(&both(Dead, Dead));
        let expected = [EventCode::MemberFailed, EventCode::MemberLeft];
        assert_eq!(codes(ended), expected);
        assert!(events.look(&both(Dead, Dead)).is_empty());
    }
}
