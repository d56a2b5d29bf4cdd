//! The peers that an instance probes and gossips to.
//!
//! These are the members of its zone and, for delegates, the delegates of other zones,
//! so that the cost does not grow with the fleet.

use super::member::Member;
use super::rendezvous::{
    Role,
    rank, //
};
use super::table::MemberTable;
use crate::ids::{
    AvailabilityZoneId,
    InstanceId, //
};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a death in another zone adds delegates of that zone.
const DEATH_WINDOW: Duration = Duration::from_secs(10);

/// Additional members of a zone in scope for each recent death there, so that the loss
/// of a whole zone is detected in a few rounds.
const EXTRA_DELEGATES_PER_DEATH: usize = 2;

/// The peers of an instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scope {
    /// The other running members of the instance's availability zone.
    pub(crate) zone_peers: Vec<Member>,
    /// The delegates of the other zones; empty unless this instance is a delegate.
    pub(crate) foreign_delegates: Vec<Member>,
    /// Whether this instance is a delegate of its zone.
    pub(crate) is_delegate: bool,
}

impl Scope {
    /// Returns the scope of `own` in `table`.
    pub(crate) fn new(
        own: &Member,
        table: &MemberTable,
        delegates_per_zone: usize,
        now: MonotonicTime,
    ) -> Self {
        let mut zones = by_zone(table);
        let own_zone = zones.remove(&own.availability_zone).unwrap_or_default();
        let is_delegate = pick_delegates(&own_zone, delegates_per_zone)
            .iter()
            .any(|member| member.instance == own.instance);
        let mut foreign_delegates = Vec::new();
        if is_delegate {
            for (zone, members) in &zones {
                let deaths = table.deaths(zone, DEATH_WINDOW, now);
                let count = delegates_per_zone + deaths * EXTRA_DELEGATES_PER_DEATH;
                foreign_delegates.extend(pick_delegates(members, count).into_iter().cloned());
            }
        }
        let zone_peers = own_zone
            .into_iter()
            .filter(|member| member.instance != own.instance)
            .cloned()
            .collect();
        Self {
            zone_peers,
            foreign_delegates,
            is_delegate,
        }
    }

    pub(crate) fn peers(&self) -> impl Iterator<Item = &Member> {
        self.zone_peers.iter().chain(&self.foreign_delegates)
    }

    pub(crate) fn size(&self) -> usize {
        self.zone_peers.len() + self.foreign_delegates.len()
    }
}

fn by_zone(table: &MemberTable) -> BTreeMap<&AvailabilityZoneId, Vec<&Member>> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for member in table.running() {
        zones
            .entry(&member.availability_zone)
            .or_default()
            .push(member);
    }
    zones
}

/// Returns the first `count` delegates among `members`; leaving ones rank last.
fn pick_delegates<'a>(members: &[&'a Member], count: usize) -> Vec<&'a Member> {
    let by_name: BTreeMap<&InstanceId, &'a Member> = members
        .iter()
        .map(|member| (&member.instance, *member))
        .collect();
    let mut ranked = rank(Role::Delegate, by_name.keys().copied());
    ranked.sort_by_key(|name| !by_name[name].state.is_usable());
    let first = ranked.into_iter().take(count);
    first.map(|name| by_name[name]).collect()
}
