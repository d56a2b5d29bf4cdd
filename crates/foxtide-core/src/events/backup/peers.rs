//! Selection of the peers that store the events of an instance.

use crate::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A member and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackupPeer {
    /// The instance.
    pub instance: InstanceId,
    /// The availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The region.
    pub region: RegionId,
}

/// Selects up to `copies` peers to store the events of `own`.
///
/// The first is preferably in another availability zone of the same region, so
/// that it stays reachable when regions are disconnected, and the others are
/// preferably in other regions. Rendezvous hashing (Thaler and Ravishankar, 1998)
/// decides among equals, which keeps changes small when members join or leave.
pub fn choose_peers(own: &BackupPeer, members: &[BackupPeer], copies: usize) -> Vec<InstanceId> {
    let mut chosen: Vec<&BackupPeer> = Vec::new();
    for _ in 0..copies {
        let free = members
            .iter()
            .filter(|peer| peer.instance != own.instance && !chosen.contains(peer));
        let Some(best) = free.min_by_key(|peer| rank(own, peer, &chosen)) else {
            break;
        };
        chosen.push(best);
    }
    let names = chosen.into_iter().map(|peer| peer.instance.clone());
    names.collect()
}

/// Returns the rank of a candidate; lower is better.
fn rank(own: &BackupPeer, peer: &BackupPeer, chosen: &[&BackupPeer]) -> (u8, Reverse<u64>) {
    let new_zone = peer.availability_zone != own.availability_zone
        && chosen
            .iter()
            .all(|c| c.availability_zone != peer.availability_zone);
    let new_region = peer.region != own.region && chosen.iter().all(|c| c.region != peer.region);
    let wanted = if chosen.is_empty() {
        peer.region == own.region
    } else {
        new_region
    };
    let tier = match (new_zone, wanted) {
        (true, true) => 0,
        (true, false) => 1,
        (false, _) => 2,
    };
    (tier, Reverse(weight(own, peer)))
}

fn weight(own: &BackupPeer, peer: &BackupPeer) -> u64 {
    let seed = xxh3_64_with_seed(own.instance.as_str().as_bytes(), 0);
    xxh3_64_with_seed(peer.instance.as_str().as_bytes(), seed)
}
