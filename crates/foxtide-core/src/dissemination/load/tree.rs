//! The position of an instance in the aggregation tree.

use crate::ids::{
    InstanceId,
    RegionId, //
};
use crate::membership::{
    Member,
    MemberState,
    Role,
    weight, //
};
use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;

/// The position of an instance and its neighbours in the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct TreePosition {
    /// The parent; `None` for the root of a region.
    pub(super) parent: Option<SocketAddr>,
    pub(super) children: BTreeMap<InstanceId, SocketAddr>,
    /// The running instances of the region that are not children.
    pub(super) other_members: BTreeSet<InstanceId>,
    /// The roots of other regions; empty unless the instance is a root.
    pub(super) other_roots: Vec<SocketAddr>,
    /// The number of levels above the instance.
    pub(super) depth: u32,
    /// The number of levels below the region's root.
    pub(super) depth_max: u32,
}

/// The running instances of a region, the root first.
type Ranked<'a> = Vec<&'a Member>;

impl TreePosition {
    /// Returns the position of `own` among `members`.
    pub(super) fn new<'a>(
        own: &Member,
        members: impl Iterator<Item = &'a Member>,
        fan_out: usize,
    ) -> Self {
        let mut regions = regions(members.filter(|member| member.state.is_running()));
        let ranked = regions.remove(&own.region).unwrap_or_default();
        let number = ranked
            .iter()
            .position(|member| member.instance == own.instance);
        let Some(number) = number else {
            return Self::default();
        };
        let mut position = in_region(&ranked, number, fan_out);
        if number == 0 {
            let roots = regions.values().map(|ranked| ranked[0].peer_address);
            position.other_roots = roots.collect();
        }
        position
    }
}

impl TreePosition {
    pub(super) fn is_root(&self) -> bool {
        self.parent.is_none()
    }
}

fn regions<'a>(members: impl Iterator<Item = &'a Member>) -> BTreeMap<&'a RegionId, Ranked<'a>> {
    let mut regions: BTreeMap<_, Ranked<'_>> = BTreeMap::new();
    for member in members {
        regions.entry(&member.region).or_default().push(member);
    }
    for ranked in regions.values_mut() {
        ranked.sort_by_cached_key(|member| order(member));
    }
    regions
}

/// Sorts leaving members last, so that they have no children.
fn order(member: &Member) -> (bool, Reverse<u64>) {
    let leaving = member.state == MemberState::Leaving;
    (leaving, Reverse(weight(Role::Aggregator, &member.instance)))
}

fn in_region(ranked: &Ranked<'_>, number: usize, fan_out: usize) -> TreePosition {
    let below = fan_out * number + 1..=fan_out * number + fan_out;
    let children = below.filter_map(|child| ranked.get(child));
    let children: BTreeMap<_, _> = children.map(|child| address_of(child)).collect();
    let members = ranked.iter().map(|member| &member.instance);
    let other_members = members.filter(|member| !children.contains_key(member));
    let above = number.checked_sub(1).map(|before| before / fan_out);
    TreePosition {
        parent: above.map(|parent| ranked[parent].peer_address),
        other_members: other_members.cloned().collect(),
        other_roots: Vec::new(),
        depth: depth(number, fan_out),
        depth_max: depth(ranked.len() - 1, fan_out),
        children,
    }
}

fn address_of(member: &Member) -> (InstanceId, SocketAddr) {
    (member.instance.clone(), member.peer_address)
}

/// Returns the level of the instance with this rank in its region.
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
