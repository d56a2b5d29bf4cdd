//! The simulated instances: membership views, upstream order and coordinators.

use super::settings::{
    CoordinatorFaultKind,
    LoadSettings, //
};
use foxtide_core::admission::Coordinator;
use foxtide_core::ids::{
    RegionId,
    UpstreamId, //
};
use foxtide_core::placement::{
    Candidate,
    Demand,
    ObjectKey,
    UpstreamWeights,
    first_choices,
    overflow_budget,
    region_shares, //
};
use foxtide_core::registry::{
    Member,
    Members,
    StorePhase, //
};
use foxtide_core::retry::RetryBudget;
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};

/// Number of upstreams considered per object.
const CHOICES: usize = 4;

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) region: usize,
    /// This instance's view of the live members.
    pub(super) members: Members,
    pub(super) coordinator: Coordinator,
    /// Budget for requests sent to other regions beyond their shares.
    pub(super) overflow: RetryBudget,
    /// Current fault of its coordinator.
    pub(super) fault: Option<CoordinatorFaultKind>,
}

/// All instances and upstreams with their regions.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) instances: Vec<Instance>,
    regions: Vec<RegionId>,
    upstreams: Vec<(UpstreamId, usize)>,
    /// Indexed by the region of origin.
    candidates: Vec<Vec<Candidate>>,
    /// Share of each region's requests that it serves itself.
    own_shares: Vec<f64>,
}

impl Fleet {
    /// Creates a fleet in which every instance sees all members.
    pub(super) fn new(settings: &LoadSettings) -> Self {
        let regions: Vec<RegionId> = settings
            .regions
            .iter()
            .map(|region| region.name.parse().expect("region names are valid"))
            .collect();
        let mut upstreams = Vec::new();
        let mut instances = Vec::new();
        for (number, region) in settings.regions.iter().enumerate() {
            for _ in 0..region.upstreams {
                let name = format!("i-{}", upstreams.len());
                upstreams.push((name.parse().expect("valid name"), number));
            }
            for _ in 0..region.instances {
                instances.push(number);
            }
        }
        let all: Vec<Member> = instances
            .iter()
            .enumerate()
            .map(|(number, &region)| member(number, &regions[region]))
            .collect();
        let instances = instances
            .into_iter()
            .map(|region| Instance {
                region,
                members: members_of(&all),
                coordinator: Coordinator::default(),
                overflow: overflow_budget(MonotonicTime::ZERO),
                fault: None,
            })
            .collect();
        let mut fleet = Self {
            instances,
            regions,
            upstreams,
            candidates: Vec::new(),
            own_shares: Vec::new(),
        };
        let away = vec![false; fleet.upstreams.len()];
        fleet.update_weights(settings, &away);
        fleet
    }

    /// Recomputes weights and shares without the upstreams that are away.
    pub(super) fn update_weights(&mut self, settings: &LoadSettings, away: &[bool]) {
        let mut slots: BTreeMap<RegionId, u32> = BTreeMap::new();
        for (number, (_, region)) in self.upstreams.iter().enumerate() {
            if !away[number] {
                *slots.entry(self.regions[*region].clone()).or_default() += settings.slots;
            }
        }
        let demand = Demand::unrestricted(self.regions.len());
        let of_origin = |origin: &RegionId| {
            let weights = UpstreamWeights::new(origin, slots.clone(), &demand);
            let candidate = |(number, (name, region)): (usize, &(UpstreamId, usize))| {
                let slots = if away[number] { 0 } else { settings.slots };
                Candidate::new(name, weights.of(&self.regions[*region], slots))
            };
            self.upstreams.iter().enumerate().map(candidate).collect()
        };
        self.candidates = self.regions.iter().map(of_origin).collect();
        let own_share = |origin: &RegionId| region_shares(origin, &slots, &demand)[origin];
        self.own_shares = self.regions.iter().map(own_share).collect();
    }

    /// Returns an object's preferred upstreams for requests from a region.
    pub(super) fn order(&self, region: usize, object: ObjectKey) -> Vec<usize> {
        first_choices(object, &self.candidates[region], CHOICES)
    }

    /// Returns an object's preferred upstreams within the region.
    pub(super) fn local_choices(&self, region: usize, object: ObjectKey) -> Vec<usize> {
        self.filtered_choices(region, object, |number| self.is_local(region, number))
    }

    /// Returns an object's preferred upstreams outside the region.
    pub(super) fn remote_choices(&self, region: usize, object: ObjectKey) -> Vec<usize> {
        self.filtered_choices(region, object, |number| !self.is_local(region, number))
    }

    fn filtered_choices(
        &self,
        region: usize,
        object: ObjectKey,
        is_eligible: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let numbers = 0..self.upstreams.len();
        let numbers: Vec<usize> = numbers.filter(|&number| is_eligible(number)).collect();
        let candidates = numbers
            .iter()
            .map(|&number| self.candidates[region][number]);
        let candidates: Vec<Candidate> = candidates.collect();
        let order = first_choices(object, &candidates, CHOICES);
        order.into_iter().map(|index| numbers[index]).collect()
    }

    /// Returns the share of a region's requests that it serves itself.
    pub(super) fn own_share(&self, region: usize) -> f64 {
        self.own_shares[region]
    }

    pub(super) fn upstream(&self, number: usize) -> &UpstreamId {
        &self.upstreams[number].0
    }

    /// Returns the region of an upstream.
    pub(super) fn region_of(&self, upstream: usize) -> usize {
        self.upstreams[upstream].1
    }

    /// Returns whether an upstream is in the region.
    pub(super) fn is_local(&self, region: usize, upstream: usize) -> bool {
        self.region_of(upstream) == region
    }

    /// Returns the coordinator of an upstream in `requester`'s membership view.
    pub(super) fn coordinator(&self, requester: usize, upstream: usize) -> Option<usize> {
        let (name, region) = &self.upstreams[upstream];
        let members = &self.instances[requester].members;
        let member = members.coordinator(name, &self.regions[*region])?;
        Some(number_of(member))
    }

    /// Adds `instance` to `requester`'s membership view or removes it.
    pub(super) fn set_alive(&mut self, requester: usize, instance: usize, is_alive: bool) {
        let region = self.regions[self.instances[instance].region].clone();
        let member = member(instance, &region);
        let members = &mut self.instances[requester].members;
        if is_alive {
            members.join(member, MonotonicTime::ZERO);
        } else {
            members.leave(&member.instance, StorePhase::Available, MonotonicTime::ZERO);
        }
    }

    /// Returns the address of an instance; its port encodes the instance's number.
    pub(super) fn address(instance: usize) -> SocketAddr {
        let port = 10_000 + u16::try_from(instance).expect("instance number fits in a port");
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }
}

fn members_of(all: &[Member]) -> Members {
    let mut members = Members::default();
    for member in all {
        members.join(member.clone(), MonotonicTime::ZERO);
    }
    members
}

fn member(number: usize, region: &RegionId) -> Member {
    let address = Fleet::address(number);
    Member {
        instance: format!("edge-{number}").parse().expect("valid name"),
        caller_address: address,
        peer_address: address,
        datagram_address: address,
        availability_zone: format!("{region}-a").parse().expect("valid name"),
        region: region.clone(),
        registrar: None,
        link_mbps: 0,
        is_cut_off: false,
    }
}

fn number_of(member: &Member) -> usize {
    usize::from(member.datagram_address.port()) - 10_000
}
