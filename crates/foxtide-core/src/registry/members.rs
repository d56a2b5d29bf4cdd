//! The instances that are alive, as their leases on the store tell.

use super::StorePhase;
use crate::ids::{
    AvailabilityZoneId,
    InstanceId,
    OrganisationId,
    RegionId,
    UpstreamId, //
};
use crate::membership::{
    Role,
    rank, //
};
use crate::poison::Fingerprint;
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// The largest fleet in which every instance follows the store by itself: its
/// calls cost less there than the delay by a peer.
const ALL_WATCH_MAX: usize = 16;

/// How many instances of a region follow the store in a larger fleet, at least;
/// one may be stopped and another killed at the same time.
const WATCHERS_PER_REGION: usize = 3;

/// The instances of an availability zone for which one watcher stands: what it
/// sends grows with those that follow it, and bytes within a zone are free.
const INSTANCES_PER_WATCHER: usize = 16;

/// How many instances of a region count the ends of upstreams under a request: two fifths of
/// the instances may be frozen at the same time, and a region has three or four on the
/// smallest deployments.
const AGGREGATORS_PER_REGION: usize = 4;

/// An instance that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where other instances ask.
    pub peer_address: SocketAddr,
    /// Where other instances send datagrams.
    pub datagram_address: SocketAddr,
    /// Where it stands.
    pub availability_zone: AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: RegionId,
    /// The instance that keeps its record in the store; nothing where it does so itself.
    pub registrar: Option<InstanceId>,
    /// The megabits a second of its machine's link; 0 where that is not known.
    pub link_mbps: u32,
}

/// An instance that asks others.
#[derive(Clone, Copy, Debug)]
pub struct Requester<'a> {
    /// Its name.
    pub instance: &'a InstanceId,
    /// Where it stands.
    pub availability_zone: &'a AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: &'a RegionId,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    is_missing: bool,
}

/// All instances that take requests.
///
/// An instance whose lease has ended is gone, except while the store is away
/// and for a while after: leases may lapse then although instances live.
#[derive(Clone, Debug, Default)]
pub struct Members {
    entries: BTreeMap<InstanceId, Entry>,
    /// When the members of each region last changed.
    changed_at: BTreeMap<RegionId, MonotonicTime>,
}

impl Members {
    /// Takes in that an instance lives.
    pub fn join(&mut self, member: Member, now: MonotonicTime) -> bool {
        let entry = Entry {
            member: member.clone(),
            is_missing: false,
        };
        let region = member.region.clone();
        let is_new = self.entries.insert(member.instance, entry).is_none();
        if is_new {
            self.changed_at.insert(region, now);
        }
        is_new
    }

    /// Takes in that an instance's lease has ended; tells whether it is
    /// believed to be gone.
    pub fn leave(&mut self, instance: &InstanceId, phase: StorePhase, now: MonotonicTime) -> bool {
        if phase.treats_missing_as_gone(now) {
            let left = self.entries.remove(instance);
            return left.is_some_and(|left| {
                self.changed_at.insert(left.member.region, now);
                true
            });
        }
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.is_missing = true;
        }
        false
    }

    /// Takes in all instances that have a lease.
    pub fn replace(&mut self, members: Vec<Member>, phase: StorePhase, now: MonotonicTime) {
        let missing: Vec<InstanceId> = self
            .entries
            .keys()
            .filter(|instance| members.iter().all(|member| member.instance != **instance))
            .cloned()
            .collect();
        for instance in missing {
            self.leave(&instance, phase, now);
        }
        for member in members {
            self.join(member, now);
        }
    }

    /// Removes instances that were missing when the store was away and have
    /// not come back.
    pub fn expire(&mut self, phase: StorePhase, now: MonotonicTime) {
        if !phase.treats_missing_as_gone(now) {
            return;
        }
        for entry in self.entries.values().filter(|entry| entry.is_missing) {
            self.changed_at.insert(entry.member.region.clone(), now);
        }
        self.entries.retain(|_, entry| !entry.is_missing);
    }

    /// Returns all members, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Returns a member by its name.
    pub fn get(&self, instance: &InstanceId) -> Option<&Member> {
        self.entries.get(instance).map(|entry| &entry.member)
    }

    /// Returns the names of all members.
    pub fn names(&self) -> Vec<InstanceId> {
        self.entries.keys().cloned().collect()
    }

    /// Returns the members of a region that follow the store for the others of
    /// the region; nothing where the fleet is so small that each does.
    ///
    /// Each availability zone has one for a number of instances, and the region a
    /// least number in all. Those with the fastest links come first: a watcher sends what
    /// changes to each that follows it, and while a fleet of 295 instances started one sent
    /// 12 MB so, which takes a link of 10 Mbit/s ten seconds.
    pub fn watchers(&self, region: &RegionId) -> Vec<&Member> {
        if self.entries.len() <= ALL_WATCH_MAX {
            return Vec::new();
        }
        let of_region = self.all().filter(|member| member.region == *region);
        let by_name: BTreeMap<&InstanceId, &Member> =
            of_region.map(|member| (&member.instance, member)).collect();
        let mut places: BTreeMap<&AvailabilityZoneId, usize> = BTreeMap::new();
        for member in by_name.values() {
            *places.entry(&member.availability_zone).or_default() += 1;
        }
        for places in places.values_mut() {
            *places = places.div_ceil(INSTANCES_PER_WATCHER);
        }
        let mut more = WATCHERS_PER_REGION.saturating_sub(places.values().sum());
        let ranked = rank(Role::Watcher, by_name.keys().copied());
        let ranked = ranked.into_iter().map(|instance| by_name[instance]);
        let mut ranked: Vec<&Member> = ranked.collect();
        ranked.sort_by_key(|member| Reverse(member.link_mbps));
        let holds_place = |member: &&Member| {
            let of_zone = places.get_mut(&member.availability_zone);
            let left = match of_zone {
                Some(left) if *left > 0 => left,
                _ => &mut more,
            };
            let holds = *left > 0;
            *left = left.saturating_sub(1);
            holds
        };
        ranked.into_iter().filter(holds_place).collect()
    }

    /// Returns the members that follow the store, those of `region` first.
    pub fn watchers_nearest_first(&self, region: &RegionId) -> Vec<&Member> {
        let mut regions: Vec<&RegionId> = self.all().map(|member| &member.region).collect();
        regions.sort_by_key(|of_member| (*of_member != region, *of_member));
        regions.dedup();
        let of_region = |of_region: &&RegionId| {
            let watchers = self.watchers(of_region);
            if watchers.is_empty() {
                let members = self.all().filter(|member| member.region == **of_region);
                return members.collect();
            }
            watchers
        };
        regions.iter().flat_map(of_region).collect()
    }

    /// Sorts `members` as an instance asks them: those of its availability zone
    /// first, then those of its region, and else in an order of its own, so that
    /// not all ask the same one.
    pub fn sort_by_proximity(members: &mut [&Member], requester: &Requester<'_>) {
        let seed = xxh3_64(requester.instance.as_str().as_bytes());
        members.sort_by_cached_key(|member| {
            let draw = xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed);
            let is_other_region = member.region != *requester.region;
            let is_other_zone = member.availability_zone != *requester.availability_zone;
            (is_other_region, is_other_zone, draw)
        });
    }

    /// Returns the member that coordinates the slots of an upstream in `region`: the
    /// same one in the eyes of all that believe in the same members. It stands in
    /// the upstream's region, so that most of those that ask are near.
    pub fn coordinator(&self, upstream: &UpstreamId, region: &RegionId) -> Option<&Member> {
        let seed = xxh3_64(upstream.as_str().as_bytes());
        let of_region = self.all().filter(|member| member.region == *region);
        of_region.max_by_key(|member| xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed))
    }

    /// Returns the members that hand out an organisation's quota, one of each region that
    /// has members: the same ones in the eyes of all that believe in the same members. The
    /// own region's comes first.
    pub fn quota_coordinators(
        &self,
        organisation: &OrganisationId,
        own: &RegionId,
    ) -> Vec<&Member> {
        let seed = xxh3_64(organisation.as_str().as_bytes());
        self.of_each_region(seed, 1, own)
    }

    /// Returns the members that count the ends of upstreams under a request, the own region's
    /// first: upstreams of all regions may end under it, and each region is to know as soon as
    /// its own instances do. Some of a region may be absent at the same time.
    pub fn aggregators(&self, fingerprint: Fingerprint, own: &RegionId) -> Vec<&Member> {
        self.of_each_region(fingerprint.hash(), AGGREGATORS_PER_REGION, own)
    }

    fn of_each_region(&self, seed: u64, count: usize, own: &RegionId) -> Vec<&Member> {
        let mut of_regions: BTreeMap<&RegionId, Vec<(u64, &Member)>> = BTreeMap::new();
        for member in self.all() {
            let draw = xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed);
            let of_region = of_regions.entry(&member.region).or_default();
            of_region.push((draw, member));
        }
        let mut chosen: Vec<&Member> = Vec::new();
        for mut of_region in of_regions.into_values() {
            of_region.sort_by_key(|&(draw, _)| Reverse(draw));
            let best = of_region.into_iter().take(count);
            chosen.extend(best.map(|(_, member)| member));
        }
        chosen.sort_by_key(|member| member.region != *own);
        chosen
    }

    /// Returns when the members of a region last changed.
    pub fn changed_at(&self, region: &RegionId) -> MonotonicTime {
        self.changed_at.get(region).copied().unwrap_or_default()
    }

    /// Returns the members to which callers of `region` are directed: those of
    /// the region, or all where it has none.
    pub fn nearest(&self, region: &RegionId) -> Vec<&Member> {
        let near: Vec<&Member> = self
            .all()
            .filter(|member| member.region == *region)
            .collect();
        if near.is_empty() {
            self.all().collect()
        } else {
            near
        }
    }
}
