//! Live instances, according to their leases in the store.

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
    rank,
    weight, //
};
use crate::poison::Fingerprint;
use crate::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Largest fleet in which every instance watches the store itself; relaying through
/// watchers would add delay and save few calls.
const ALL_WATCH_MAX: usize = 16;

/// Minimum number of watchers per region of a larger fleet, so that one may stop while
/// another fails.
const WATCHERS_PER_REGION: usize = 3;

/// Instances per watcher in an availability zone: a watcher's traffic grows with its
/// followers, and traffic within a zone is free.
const INSTANCES_PER_WATCHER: usize = 16;

/// Instances of a region that aggregate the failures of upstreams per request, so that some may be
/// unresponsive at the same time. Two fifths of the instances may be frozen at the same time, and a
/// region of the smallest deployments has three or four.
const AGGREGATORS_PER_REGION: usize = 4;

/// Instances of a region that sum up its demand; the second stands in for the first.
const DEMAND_AGGREGATORS_PER_REGION: usize = 2;

/// An instance that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for requests of other instances.
    pub peer_address: SocketAddr,
    /// Address for datagrams of other instances.
    pub datagram_address: SocketAddr,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: RegionId,
    /// The instance that maintains its record in the store; `None` if it does so
    /// itself.
    pub registrar: Option<InstanceId>,
    /// Bandwidth of its machine's link in megabits a second; 0 if unknown.
    pub link_mbps: u32,
    /// Whether it reaches no upstream.
    pub is_cut_off: bool,
}

/// An instance that sends requests to other instances.
#[derive(Clone, Copy, Debug)]
pub struct Requester<'a> {
    /// Name of the instance.
    pub instance: &'a InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: &'a AvailabilityZoneId,
    /// The region of its availability zone.
    pub region: &'a RegionId,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    is_missing: bool,
}

/// All instances that accept requests.
///
/// An instance whose lease has expired is removed, except during an outage of the store
/// and for a grace period after it: leases of live instances may expire then.
#[derive(Clone, Debug, Default)]
pub struct Members {
    entries: BTreeMap<InstanceId, Entry>,
    /// When the members of each region last changed.
    changed_at: BTreeMap<RegionId, MonotonicTime>,
}

impl Members {
    /// Adds or updates an instance; returns whether it is new.
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

    /// Handles the end of an instance's lease; returns whether the instance was
    /// removed.
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

    /// Replaces the members with all instances that have a lease.
    pub fn replace(&mut self, members: Vec<Member>, phase: StorePhase, now: MonotonicTime) {
        let present: BTreeSet<&InstanceId> =
            members.iter().map(|member| &member.instance).collect();
        let missing: Vec<InstanceId> = self
            .entries
            .keys()
            .filter(|instance| !present.contains(*instance))
            .cloned()
            .collect();
        for instance in missing {
            self.leave(&instance, phase, now);
        }
        for member in members {
            self.join(member, now);
        }
    }

    /// Removes instances whose leases expired during an outage of the store and that
    /// have not returned.
    pub fn expire(&mut self, phase: StorePhase, now: MonotonicTime) {
        if !phase.treats_missing_as_gone(now) {
            return;
        }
        for entry in self.entries.values().filter(|entry| entry.is_missing) {
            self.changed_at.insert(entry.member.region.clone(), now);
        }
        self.entries.retain(|_, entry| !entry.is_missing);
    }

    /// Returns all members, ordered by name.
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

    /// Returns the members of a region that watch the store on behalf of the others;
    /// empty in a fleet so small that every instance does.
    ///
    /// Their number depends on the instances of each availability zone, with a minimum
    /// per region. Members with the fastest links come first, since a watcher sends all
    /// changes to its followers.
    pub fn watchers(&self, region: &RegionId) -> Vec<&Member> {
        if self.entries.len() <= ALL_WATCH_MAX {
            return Vec::new();
        }
        let of_region = self.all().filter(|member| member.region == *region);
        let by_name: BTreeMap<&InstanceId, &Member> =
            of_region.map(|member| (&member.instance, member)).collect();
        let mut watchers_per_zone: BTreeMap<&AvailabilityZoneId, usize> = BTreeMap::new();
        for member in by_name.values() {
            *watchers_per_zone
                .entry(&member.availability_zone)
                .or_default() += 1;
        }
        for count in watchers_per_zone.values_mut() {
            *count = count.div_ceil(INSTANCES_PER_WATCHER);
        }
        let mut additional = WATCHERS_PER_REGION.saturating_sub(watchers_per_zone.values().sum());
        let ranked = rank(Role::Watcher, by_name.keys().copied());
        let ranked = ranked.into_iter().map(|instance| by_name[instance]);
        let mut ranked: Vec<&Member> = ranked.collect();
        ranked.sort_by_key(|member| Reverse(member.link_mbps));
        let is_watcher = |member: &&Member| {
            let zone_remaining = watchers_per_zone.get_mut(&member.availability_zone);
            let remaining = match zone_remaining {
                Some(remaining) if *remaining > 0 => remaining,
                _ => &mut additional,
            };
            let holds = *remaining > 0;
            *remaining = remaining.saturating_sub(1);
            holds
        };
        ranked.into_iter().filter(is_watcher).collect()
    }

    /// Returns the members that watch the store, those of `region` first.
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

    /// Sorts `members` in the order in which an instance requests from them: first its
    /// own availability zone, then its region. Ties are in a pseudo-random order per
    /// requester, which spreads the load.
    pub fn sort_by_proximity(members: &mut [&Member], requester: &Requester<'_>) {
        let seed = xxh3_64(requester.instance.as_str().as_bytes());
        members.sort_by_cached_key(|member| {
            let draw = xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed);
            let is_other_region = member.region != *requester.region;
            let is_other_zone = member.availability_zone != *requester.availability_zone;
            (is_other_region, is_other_zone, draw)
        });
    }

    /// Returns the member of `region` that coordinates the slots of an upstream; all
    /// instances with the same members choose the same one.
    pub fn coordinator(&self, upstream: &UpstreamId, region: &RegionId) -> Option<&Member> {
        let seed = xxh3_64(upstream.as_str().as_bytes());
        let of_region = self.all().filter(|member| member.region == *region);
        of_region.max_by_key(|member| xxh3_64_with_seed(member.instance.as_str().as_bytes(), seed))
    }

    /// Returns the members that coordinate an organisation's quota, one of each region,
    /// with that of the region `own` first. All instances with the same members choose
    /// the same ones.
    pub fn quota_coordinators(
        &self,
        organisation: &OrganisationId,
        own: &RegionId,
    ) -> Vec<&Member> {
        let seed = xxh3_64(organisation.as_str().as_bytes());
        self.best_per_region(seed, 1, own)
    }

    /// Returns the members that aggregate the failures of upstreams per request, those
    /// of the region `own` first. Each region has several, since some may be absent.
    pub fn aggregators(&self, fingerprint: Fingerprint, own: &RegionId) -> Vec<&Member> {
        self.best_per_region(fingerprint.hash(), AGGREGATORS_PER_REGION, own)
    }

    /// Returns the members that sum up the demand of a region, the first choice first. Those
    /// with the fastest links come first, since they answer all others.
    pub fn demand_aggregators(&self, region: &RegionId) -> Vec<&Member> {
        let of_region = self.all().filter(|member| member.region == *region);
        let mut ranked: Vec<&Member> = of_region.collect();
        ranked.sort_by_cached_key(|member| {
            let draw = weight(Role::Aggregator, &member.instance);
            (Reverse(member.link_mbps), Reverse(draw))
        });
        ranked.truncate(DEMAND_AGGREGATORS_PER_REGION);
        ranked
    }

    fn best_per_region(&self, seed: u64, count: usize, own: &RegionId) -> Vec<&Member> {
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

    /// Returns the members to which callers of `region` are directed: those of the
    /// region that reach upstreams, or all that do if it has none. Where no member reaches
    /// any, the upstreams are more likely to have failed than all members' paths, and it
    /// makes no difference.
    pub fn nearest(&self, region: &RegionId) -> Vec<&Member> {
        let is_any_reaching = self.all().any(|member| !member.is_cut_off);
        let serving = |member: &&Member| !(is_any_reaching && member.is_cut_off);
        let near = self.all().filter(|member| member.region == *region);
        let near: Vec<&Member> = near.filter(serving).collect();
        if near.is_empty() {
            self.all().filter(serving).collect()
        } else {
            near
        }
    }
}
