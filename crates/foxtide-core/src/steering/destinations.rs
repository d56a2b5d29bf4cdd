//! An instance's parts of all limits: what it claims and what it may send.

use super::limit_inputs::{
    Floors,
    LimitInputs,
    instance_counts, //
};
use super::options::SteeringOptions;
use super::target::FreeCapacity;
use super::view::FleetView;
use crate::ids::RegionId;
use crate::limits::{
    Claim,
    Limit,
    LimitUse, //
};
use crate::organisation::Organisation;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::collections::BTreeMap;
use std::time::Duration;

/// The parts of an instance in each region's limit and in the links to them.
#[derive(Clone, Debug)]
pub(crate) struct Destinations {
    regions: Vec<RegionId>,
    origin: RegionId,
    destinations: Vec<Destination>,
    settled: bool,
}

/// The instance's part of one region's limit and of the link to it.
#[derive(Clone, Debug)]
struct Destination {
    sold: RequestRate,
    /// `None` inside the origin region, where no link is crossed.
    link_sold: Option<RequestRate>,
    region: Limit,
    link: Limit,
    need: Claim,
}

/// Why a request finds no room at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitKind {
    /// The region's part is used up.
    Region,
    /// The link's part is used up.
    Link,
}

/// When there may be room again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExhausted {
    /// What is used up.
    pub(crate) limit: LimitKind,
    /// The time until the next request may pass; `None` if none ever will.
    pub(crate) next_in: Option<Duration>,
}

impl Destinations {
    /// Returns the parts of an instance that knows of no peer.
    pub(crate) fn new(organisation: &Organisation, origin: &RegionId, now: MonotonicTime) -> Self {
        let mut destinations = Self {
            regions: Vec::new(),
            origin: origin.clone(),
            destinations: Vec::new(),
            settled: false,
        };
        destinations.configure(organisation, now);
        destinations
    }

    /// Takes over a new configuration; what was claimed stays claimed.
    pub(crate) fn configure(&mut self, organisation: &Organisation, now: MonotonicTime) {
        let names = std::mem::take(&mut self.regions).into_iter();
        let mut known: BTreeMap<RegionId, Destination> =
            names.zip(std::mem::take(&mut self.destinations)).collect();
        for region in &organisation.regions {
            let id = &region.region;
            let mut destination = known.remove(id).unwrap_or_else(|| Destination::new(now));
            let link = organisation.link(&self.origin, id);
            let link_sold = link.map_or(RequestRate::ZERO, |link| link.sold_rate_rps);
            destination.sold = region.sold_rate_rps;
            destination.link_sold = (*id != self.origin).then_some(link_sold);
            self.regions.push(id.clone());
            self.destinations.push(destination);
        }
    }

    /// Tells whether anything may be sent to a region at all.
    pub(crate) fn reachable(&self, index: usize) -> bool {
        let destination = &self.destinations[index];
        destination.sold > RequestRate::ZERO && destination.link_sold != Some(RequestRate::ZERO)
    }

    /// Notes which peers were heard.
    pub(crate) fn observe(&mut self, view: &FleetView) {
        let at = view.measured_at;
        let origin = instance_counts(view, &self.origin);
        for (id, destination) in self.regions.iter().zip(&mut self.destinations) {
            let region = instance_counts(view, id);
            destination.region.observe(region.live, region.known, at);
            destination.link.observe(origin.live, origin.known, at);
        }
    }

    /// Tells whether the instance has had its part of its own region's limit,
    /// or of the first one's where its region has none. Once it has, a part of
    /// nothing is an answer too.
    pub(crate) fn has_settled(&self) -> bool {
        self.settled
    }

    fn note_settled(&mut self) {
        let own = self
            .regions
            .iter()
            .position(|region| *region == self.origin);
        let destination = self.destinations.get(own.unwrap_or_default());
        self.settled |= destination.is_none_or(|destination| destination.region.is_settled());
    }

    /// Sets what the instance would send to a region.
    pub(crate) fn set_need(&mut self, index: usize, need: Claim) {
        self.destinations[index].need = need;
    }

    /// Returns what an idle instance claims of a region: a part of its floor in
    /// its own region, nothing of others.
    ///
    /// When callers come to an idle fleet all claims rise at once, and for the
    /// growth window each instance counts itself with its old one: its part is
    /// smaller by the factor that claims rose by.
    pub(crate) fn idle_claim(&self, index: usize, options: &SteeringOptions) -> Claim {
        if self.regions[index] != self.origin {
            return Claim::default();
        }
        let floors = Floors::new(options, self.regions.len());
        let floor_share = floors.region_share(&self.origin, &self.origin);
        let idle_rps =
            self.destinations[index].sold.get() * floor_share * options.idle_claim_of_floor;
        Claim {
            planned_rps: RequestRate::clamped(idle_rps),
            ..Claim::default()
        }
    }

    /// Returns the rate that may be sent to a region.
    pub(crate) fn usable_rps(&self, index: usize) -> f64 {
        let destination = &self.destinations[index];
        let region_rps = destination.region.usable().get();
        match destination.link_sold {
            Some(_) => region_rps.min(destination.link.usable().get()),
            None => region_rps,
        }
    }

    /// Works out the room that a region has beyond what is wanted of it.
    pub(crate) fn free_capacity(
        &self,
        index: usize,
        wanted_rps: f64,
        spill_at_share: f64,
    ) -> FreeCapacity {
        let usable_rps = self.usable_rps(index) * spill_at_share;
        if wanted_rps > usable_rps {
            return FreeCapacity {
                excess_share: 1.0 - usable_rps / wanted_rps,
                free_rps: 0.0,
            };
        }
        FreeCapacity {
            excess_share: 0.0,
            free_rps: usable_rps - wanted_rps,
        }
    }

    /// Works out all parts anew.
    pub(crate) fn update(
        &mut self,
        view: &FleetView,
        options: &SteeringOptions,
        passed: Duration,
        now: MonotonicTime,
    ) {
        let floors = Floors::new(options, self.regions.len());
        let times = options.limit_times();
        for (id, destination) in self.regions.iter().zip(&mut self.destinations) {
            let inputs = LimitInputs::new(view, id, options.view_age_max, now);
            let sold = RequestRate::clamped(destination.sold.get() * options.sold_rate_factor);
            let share_of = |origin: &RegionId| floors.region_share(origin, id);
            let input = inputs.region_input(sold, &self.origin, share_of);
            destination.region.update(input, times, passed, now);
            let sold = destination.link_sold.unwrap_or_default().get();
            let sold = RequestRate::clamped(sold * options.sold_rate_factor);
            let input = inputs.link_input(sold, &self.origin, floors.link_share());
            destination.link.update(input, times, passed, now);
        }
        self.note_settled();
    }

    /// Takes room for one request.
    pub(crate) fn try_acquire(
        &mut self,
        index: usize,
        now: MonotonicTime,
    ) -> Result<(), LimitExhausted> {
        let destination = &mut self.destinations[index];
        let region = destination.region.bucket();
        if !region.has_token(now) {
            return Err(LimitExhausted {
                limit: LimitKind::Region,
                next_in: region.next_token_in(),
            });
        }
        if destination.link_sold.is_some() {
            let link = destination.link.bucket();
            if !link.has_token(now) {
                return Err(LimitExhausted {
                    limit: LimitKind::Link,
                    next_in: link.next_token_in(),
                });
            }
            link.take();
        }
        destination.region.bucket().take();
        Ok(())
    }

    /// Cuts the part in a region that refused a request.
    pub(crate) fn refused(&mut self, region: &RegionId, now: MonotonicTime) {
        let mut destinations = self.regions.iter().zip(&mut self.destinations);
        if let Some((_, destination)) = destinations.find(|(id, _)| *id == region) {
            destination.region.refused(now);
        }
    }

    /// Returns what to publish now of the instance's use of the limits.
    pub(crate) fn publish(&mut self, now: MonotonicTime) -> BTreeMap<RegionId, LimitUse> {
        let destinations = self.regions.iter().zip(&mut self.destinations);
        destinations
            .map(|(id, destination)| (id.clone(), destination.publish(now)))
            .collect()
    }
}

impl Destination {
    fn new(now: MonotonicTime) -> Self {
        Self {
            sold: RequestRate::ZERO,
            link_sold: None,
            region: Limit::new(now),
            link: Limit::new(now),
            need: Claim::default(),
        }
    }

    fn publish(&mut self, now: MonotonicTime) -> LimitUse {
        // The same needs in the same order: both publish the same claim.
        self.link.publish(self.need, now);
        LimitUse {
            claim: self.region.publish(self.need, now),
            region_sharers: self.region.is_shared().into(),
            link_sharers: self.link.is_shared().into(),
        }
    }
}
