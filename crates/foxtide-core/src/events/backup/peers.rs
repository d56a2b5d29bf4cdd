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

/// Selects up to `copies` peers to store the events of `origin`.
///
/// The first is preferably in another availability zone of the same region, so
/// that it stays reachable when regions are disconnected, and the others are
/// preferably in other regions. Rendezvous hashing (Thaler and Ravishankar, 1998)
/// decides among equals, which keeps changes small when members join or leave.
pub fn choose_peers(origin: &BackupPeer, members: &[BackupPeer], copies: usize) -> Vec<InstanceId> {
    let mut chosen: Vec<&BackupPeer> = Vec::new();
    for _ in 0..copies {
        let free = members
            .iter()
            .filter(|peer| peer.instance != origin.instance && !chosen.contains(peer));
        let Some(best) = free.min_by_key(|peer| rank(origin, peer, &chosen)) else {
            break;
        };
        chosen.push(best);
    }
    let names = chosen.into_iter().map(|peer| peer.instance.clone());
    names.collect()
}

/// Returns the rank of a candidate; lower is better.
fn rank(origin: &BackupPeer, peer: &BackupPeer, chosen: &[&BackupPeer]) -> (u8, Reverse<u64>) {
    let new_zone = peer.availability_zone != origin.availability_zone
        && chosen
            .iter()
            .all(|c| c.availability_zone != peer.availability_zone);
    let new_region = peer.region != origin.region && chosen.iter().all(|c| c.region != peer.region);
    let wanted = if chosen.is_empty() {
        peer.region == origin.region
    } else {
        new_region
    };
    let tier = match (new_zone, wanted) {
        (true, true) => 0,
        (true, false) => 1,
        (false, _) => 2,
    };
    (tier, Reverse(weight(origin, peer)))
}

fn weight(origin: &BackupPeer, peer: &BackupPeer) -> u64 {
    let seed = xxh3_64_with_seed(origin.instance.as_str().as_bytes(), 0);
    xxh3_64_with_seed(peer.instance.as_str().as_bytes(), seed)
}
