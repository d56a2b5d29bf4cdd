//! Which instances share the upstreams.

use crate::ids::{
    InstanceId,
    RegionId, //
};

/// The place of an instance among those that send most to the same upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// How many of them come before this instance, by name.
    pub index: u32,
    /// How many they are, this instance included.
    pub total: u32,
}

/// How an instance shares the upstreams with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// How many instances may send to any upstream, this one included; they
    /// share its connections.
    pub instances: u32,
    /// This instance's place among those of its own region, which share the
    /// slots there; none where it is not known.
    pub rank: Option<Rank>,
}

impl Default for Sharing {
    /// Returns the sharing of an instance that knows of no other.
    fn default() -> Self {
        Self {
            instances: 1,
            rank: None,
        }
    }
}

impl Sharing {
    /// Returns how the instance `own` shares the upstreams with `members`,
    /// which are all instances that serve, `own` included.
    pub fn among<'a>(
        own: &InstanceId,
        members: impl Iterator<Item = (&'a InstanceId, &'a RegionId)> + Clone,
    ) -> Self {
        let instances = u32::try_from(members.clone().count()).unwrap_or(u32::MAX);
        let own_region = members.clone().find(|(name, _)| *name == own);
        let rank = own_region.map(|(_, own_region)| {
            let local = members.filter(|(_, region)| *region == own_region);
            rank_by_name(own, local.map(|(name, _)| name))
        });
        Self {
            instances: instances.max(1),
            rank,
        }
    }
}

fn rank_by_name<'a>(own: &InstanceId, names: impl Iterator<Item = &'a InstanceId>) -> Rank {
    let mut rank = Rank { index: 0, total: 0 };
    for name in names {
        rank.total += 1;
        rank.index += u32::from(name < own);
    }
    rank
}
