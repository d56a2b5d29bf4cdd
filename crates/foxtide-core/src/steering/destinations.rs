//! An instance's claims on, and allocations of, the limits of all regions.

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

/// The limits of one instance towards all regions.
#[derive(Clone, Debug)]
pub(crate) struct Destinations {
    regions: Vec<RegionId>,
    origin: RegionId,
    destinations: Vec<Destination>,
    settled: bool,
}

/// The limits of one instance towards one region.
#[derive(Clone, Debug)]
struct Destination {
    sold: RequestRate,
    /// `None` within the origin region, which needs no link.
    link_sold: Option<RequestRate>,
    region: Limit,
    link: Limit,
    need: Claim,
}

/// The limits that a request must fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitKind {
    /// The region's sold rate.
    Region,
    /// The link's sold rate.
    Link,
}

/// The error of a request that exceeds the instance's allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExhausted {
    pub(crate) limit: LimitKind,
    /// The time until the next request may pass; `None` if the rate is zero.
    pub(crate) next_in: Option<Duration>,
}

impl Destinations {
    /// Creates the limits of an instance that knows no peers.
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

    /// Applies a new configuration; regions that remain keep their claims.
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

    /// Returns whether the region and the link to it have non-zero sold rates.
    pub(crate) fn reachable(&self, index: usize) -> bool {
        let destination = &self.destinations[index];
        destination.sold > RequestRate::ZERO && destination.link_sold != Some(RequestRate::ZERO)
    }

    /// Records which peers are live.
    pub(crate) fn observe(&mut self, view: &FleetView) {
        let at = view.measured_at;
        let origin = instance_counts(view, &self.origin);
        for (id, destination) in self.regions.iter().zip(&mut self.destinations) {
            let region = instance_counts(view, id);
            destination.region.observe(region.live, region.known, at);
            destination.link.observe(origin.live, origin.known, at);
        }
    }

    /// Returns whether the instance has ever had an allocation in its own region,
    /// or in the first region if its own is not configured.
    pub(crate) fn has_settled(&self) -> bool {
        self.settled
    }

    fn update_settled(&mut self) {
        let own_index = self
            .regions
            .iter()
            .position(|region| *region == self.origin);
        let destination = self.destinations.get(own_index.unwrap_or_default());
        self.settled |= destination.is_none_or(|destination| destination.region.has_allocation());
    }

    /// Sets the rates that the instance needs to send to a region.
    pub(crate) fn set_need(&mut self, index: usize, need: Claim) {
        self.destinations[index].need = need;
    }

    /// Returns the minimum claim of an idle instance: a part of its floor in its
    /// own region, zero in others.
    ///
    /// It bounds the factor by which claims rise when callers arrive at an idle
    /// fleet; for a growth window, allocations shrink by that factor.
    pub(crate) fn idle_claim(&self, index: usize, options: &SteeringOptions) -> Claim {
        if self.regions[index] != self.origin {
            return Claim::default();
        }
        let floors = Floors::new(options, self.regions.len());
        let floor_share = floors.region_share(&self.origin, &self.origin);
        let idle_rps =
            self.destinations[index].sold.get() * floor_share * options.idle_claim_floor_share;
        Claim {
            planned_rps: RequestRate::clamped(idle_rps),
            ..Claim::default()
        }
    }

    /// Returns the rate at which the instance may send to a region.
    pub(crate) fn usable_rps(&self, index: usize) -> f64 {
        let destination = &self.destinations[index];
        let region_rps = destination.region.usable().get();
        match destination.link_sold {
            Some(_) => region_rps.min(destination.link.usable().get()),
            None => region_rps,
        }
    }

    /// Returns a region's free capacity at a wanted rate.
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

    /// Recomputes all allocations.
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
        self.update_settled();
    }

    /// Takes a token for one request from the region's and the link's limits.
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

    /// Reduces the rate to a region that rejected a request.
    pub(crate) fn record_rejection(&mut self, region: &RegionId, now: MonotonicTime) {
        let mut destinations = self.regions.iter().zip(&mut self.destinations);
        if let Some((_, destination)) = destinations.find(|(id, _)| *id == region) {
            destination.region.record_rejection(now);
        }
    }

    /// Records and returns the use of the limits to publish.
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
        // Both limits get the same sequence of needs, so their claims are equal.
        self.link.publish(self.need, now);
        LimitUse {
            claim: self.region.publish(self.need, now),
            region_sharers: self.region.is_shared().into(),
            link_sharers: self.link.is_shared().into(),
        }
    }
}
