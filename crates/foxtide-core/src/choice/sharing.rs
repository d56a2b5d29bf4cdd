//! Sharing of upstreams among instances.

use crate::ids::{
    InstanceId,
    RegionId, //
};

/// The rank of an instance among those of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// The number of instances whose names sort before this one's.
    pub index: u32,
    /// The number of instances, this one included.
    pub total: u32,
}

/// How an instance shares the upstreams with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// The number of instances that share each upstream's connections, this one
    /// included.
    pub instances: u32,
    /// This instance's rank among those of its region, which share the slots
    /// there; `None` if it is unknown.
    pub rank: Option<Rank>,
}

impl Default for Sharing {
    /// Returns the sharing of a single instance.
    fn default() -> Self {
        Self {
            instances: 1,
            rank: None,
        }
    }
}

impl Sharing {
    /// Returns how the instance `local` shares the upstreams with `members`, all
    /// serving instances, `local` included.
    pub fn among<'a>(
        local: &InstanceId,
        members: impl Iterator<Item = (&'a InstanceId, &'a RegionId)> + Clone,
    ) -> Self {
        let instances = u32::try_from(members.clone().count()).unwrap_or(u32::MAX);
        let local_region = members.clone().find(|(name, _)| *name == local);
        let rank = local_region.map(|(_, local_region)| {
            let in_region = members.filter(|(_, region)| *region == local_region);
            rank_by_name(local, in_region.map(|(name, _)| name))
        });
        Self {
            instances: instances.max(1),
            rank,
        }
    }
}

fn rank_by_name<'a>(local: &InstanceId, names: impl Iterator<Item = &'a InstanceId>) -> Rank {
    let mut rank = Rank { index: 0, total: 0 };
    for name in names {
        rank.total += 1;
        rank.index += u32::from(name < local);
    }
    rank
}
