//! The place of an instance in the tree over which load is summed.

use crate::ids::{AvailabilityZoneId, InstanceId, RegionId};
use crate::membership::{Member, MemberState, Role, weight};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The instances above, below and beside one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Place {
    /// Where its sums go; `None` for the root of a region.
    pub(super) parent: Option<SocketAddr>,
    /// Whose sums come to it.
    pub(super) children: BTreeMap<InstanceId, SocketAddr>,
    /// The running instances of the region whose sums go elsewhere.
    pub(super) elsewhere: BTreeSet<InstanceId>,
    /// The roots of other regions, where it is itself one.
    pub(super) other_roots: Vec<SocketAddr>,
    /// Levels above it.
    pub(super) depth: u32,
    /// Levels below the region's root.
    pub(super) depth_max: u32,
}

/// The instances of a zone, the root first.
type Ranked<'a> = Vec<&'a Member>;

/// The zones of a region, that of the region's root first.
type Zones<'a> = Vec<Ranked<'a>>;

impl Place {
    /// Returns the place of `own` among `members`.
    pub(super) fn new<'a>(
        own: &Member,
        members: impl Iterator<Item = &'a Member>,
        fan_out: usize,
    ) -> Self {
        let mut regions = regions(members.filter(|member| member.state.is_running()));
        let Some(zones) = regions.remove(&own.region) else {
            return Self::default();
        };
        let mut place = in_zones(own, &zones, fan_out);
        let mates = zones.iter().flatten().map(|member| &member.instance);
        let elsewhere = mates.filter(|mate| !place.children.contains_key(mate));
        place.elsewhere = elsewhere.cloned().collect();
        if place.parent.is_none() {
            let roots = regions.values().map(|zones| zones[0][0].peer_address);
            place.other_roots = roots.collect();
        }
        place
    }
}

fn regions<'a>(members: impl Iterator<Item = &'a Member>) -> BTreeMap<&'a RegionId, Zones<'a>> {
    let mut zones: BTreeMap<(&RegionId, &AvailabilityZoneId), Ranked<'_>> = BTreeMap::new();
    for member in members {
        let zone = (&member.region, &member.availability_zone);
        zones.entry(zone).or_default().push(member);
    }
    let mut regions: BTreeMap<_, Zones<'_>> = BTreeMap::new();
    for ((region, _), mut ranked) in zones {
        ranked.sort_by_cached_key(|member| order(member));
        regions.entry(region).or_default().push(ranked);
    }
    for zones in regions.values_mut() {
        zones.sort_by_cached_key(|ranked| order(ranked[0]));
    }
    regions
}

/// Those that leave come last, where nobody depends on them.
fn order(member: &Member) -> (bool, Reverse<u64>) {
    let leaving = member.state == MemberState::Leaving;
    (leaving, Reverse(weight(Role::Aggregator, &member.instance)))
}

fn in_zones(own: &Member, zones: &Zones<'_>, fan_out: usize) -> Place {
    let mut place = Place::default();
    for (zone_number, ranked) in zones.iter().enumerate() {
        let root_depth = u32::from(zone_number > 0);
        let last = ranked.len() - 1;
        place.depth_max = place.depth_max.max(root_depth + depth(last, fan_out));
        let number = ranked
            .iter()
            .position(|member| member.instance == own.instance);
        let Some(number) = number else {
            continue;
        };
        place.depth = root_depth + depth(number, fan_out);
        let below = (fan_out * number + 1..=fan_out * number + fan_out)
            .filter_map(|child| ranked.get(child));
        place.children.extend(below.map(|child| known(child)));
        if number > 0 {
            place.parent = Some(ranked[(number - 1) / fan_out].peer_address);
        } else if zone_number > 0 {
            place.parent = Some(zones[0][0].peer_address);
        } else {
            let other_zones = zones[1..].iter().map(|ranked| known(ranked[0]));
            place.children.extend(other_zones);
        }
    }
    place
}

fn known(member: &Member) -> (InstanceId, SocketAddr) {
    (member.instance.clone(), member.peer_address)
}

/// Returns the level of the instance with this number in its zone.
fn depth(mut number: usize, fan_out: usize) -> u32 {
    let mut depth = 0;
    while number > 0 {
        number = (number - 1) / fan_out;
        depth += 1;
    }
    depth
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn verify_levels_grow_with_the_logarithm() {
        let levels = [0, 1, 3, 4, 12, 13, 39].map(|number| depth(number, 3));
        assert_eq!(levels, [0, 1, 1, 2, 2, 3, 3]);
    }
}
