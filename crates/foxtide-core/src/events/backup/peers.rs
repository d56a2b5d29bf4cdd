//! Which peers keep the events of an instance.

use crate::ids::{
    AvailabilityZoneId,
    InstanceId,
    RegionId, //
};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A member and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackupPeer {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Its region.
    pub region: RegionId,
}

/// Chooses the peers that keep `own`'s events, at most `copies`.
///
/// The first is taken from another availability zone of the same region, so
/// that it can be reached while regions lose each other; the others from other
/// regions. Where there are none, the next best is taken. Among equals the
/// choice is by rendezvous hash (Thaler and Ravishankar, 1998), so that it
/// changes little when members come and go.
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

/// Ranks a candidate; lower is better.
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
