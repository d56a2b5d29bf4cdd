//! Claims of instances on a limit, and the part of a claim that all peers know.

use crate::time::MonotonicTime;
use crate::units::RequestRate;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::VecDeque;
use std::time::Duration;

/// The share of the published claim below which the need lowers it.
///
/// Every raise takes a growth window to count, so noise must not change claims.
const LOWER_BELOW_SHARE: f64 = 0.7;

/// The margin of a new claim over the need, so that noise does not raise it again.
const RAISE_FACTOR: f64 = 1.1;

/// The rate that an instance, or a group of instances, wants to send to a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The rate planned for the region.
    pub planned_rps: RequestRate,
    /// The rate that spills over because its planned region lacks capacity.
    pub spilled_rps: RequestRate,
}

impl Claim {
    /// Returns the sum of two claims.
    pub fn plus(self, other: Self) -> Self {
        let planned = self.planned_rps.get() + other.planned_rps.get();
        let spilled = self.spilled_rps.get() + other.spilled_rps.get();
        Self {
            planned_rps: RequestRate::clamped(planned),
            spilled_rps: RequestRate::clamped(spilled),
        }
    }

    /// Returns the component-wise maximum of two claims.
    pub(crate) fn max(self, other: Self) -> Self {
        let planned = self.planned_rps.get().max(other.planned_rps.get());
        let spilled = self.spilled_rps.get().max(other.spilled_rps.get());
        Self {
            planned_rps: RequestRate::clamped(planned),
            spilled_rps: RequestRate::clamped(spilled),
        }
    }

    fn min(self, other: Self) -> Self {
        let planned = self.planned_rps.get().min(other.planned_rps.get());
        let spilled = self.spilled_rps.get().min(other.spilled_rps.get());
        Self {
            planned_rps: RequestRate::clamped(planned),
            spilled_rps: RequestRate::clamped(spilled),
        }
    }
}

/// The use of a region's limits by an instance or a group of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUse {
    /// The sum of their claims.
    pub claim: Claim,
    /// The number of instances that share the region's sold rate by claims; the
    /// others may use their floors.
    pub region_sharers: u32,
    /// The number of instances that share the link's sold rate by claims.
    pub link_sharers: u32,
}

impl LimitUse {
    /// Returns this use with the sharers capped by those of another view of the
    /// same instances.
    pub(crate) fn with_sharers_of(self, other: Self) -> Self {
        Self {
            claim: self.claim,
            region_sharers: self.region_sharers.min(other.region_sharers),
            link_sharers: self.link_sharers.min(other.link_sharers),
        }
    }

    /// Returns the sum of two uses.
    pub fn plus(self, other: Self) -> Self {
        Self {
            claim: self.claim.plus(other.claim),
            region_sharers: self.region_sharers + other.region_sharers,
            link_sharers: self.link_sharers + other.link_sharers,
        }
    }

    /// Returns the use of an unreachable instance: its claim still counts, but
    /// it is not known to share.
    pub fn claim_only(self) -> Self {
        Self {
            claim: self.claim,
            ..Self::default()
        }
    }
}

/// The claims that an instance has recently published for one region.
#[derive(Clone, Debug, Default)]
pub struct ClaimWindow {
    published: VecDeque<(MonotonicTime, Claim)>,
    usable: Claim,
    is_known: bool,
    connected_since: Option<MonotonicTime>,
}

/// The connectivity of an instance to its peers that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// All peers with counted claims have reported recently.
    Full,
    /// Reports of some of these peers are stale.
    Partial,
    /// No majority of the instances has been live recently.
    Isolated,
}

impl ClaimWindow {
    /// Records and returns the claim to publish for a need.
    pub fn publish(&mut self, need: Claim, now: MonotonicTime) -> Claim {
        let last = self.published.back().map(|(_, claim)| *claim);
        let last = last.unwrap_or_default();
        let claim = Claim {
            planned_rps: with_hysteresis(last.planned_rps, need.planned_rps),
            spilled_rps: with_hysteresis(last.spilled_rps, need.spilled_rps),
        };
        self.published.push_back((now, claim));
        claim
    }

    /// Computes the claim that the instance may count for itself.
    ///
    /// This is the minimum of the claims in force since `now - window`, or zero
    /// if none is that old. It grows only after a whole window of full
    /// connectivity: an unreachable peer may not receive published claims.
    pub fn update(&mut self, window: Duration, connectivity: Connectivity, now: MonotonicTime) {
        let is_known = |(at, _): &(MonotonicTime, Claim)| now.since(*at) >= window;
        while self.published.get(1).is_some_and(is_known) {
            self.published.pop_front();
        }
        let claims = self.published.iter().map(|(_, claim)| *claim);
        let mut least = claims.reduce(Claim::min).unwrap_or_default();
        let is_published = self.published.front().is_some_and(is_known);
        if !is_published {
            least = Claim::default();
        }
        if connectivity != Connectivity::Full {
            self.connected_since = None;
        }
        let may_grow = connectivity == Connectivity::Full && {
            let since = *self.connected_since.get_or_insert(now);
            now.since(since) >= window
        };
        self.is_known = match connectivity {
            Connectivity::Isolated => false,
            _ => self.is_known || (may_grow && is_published),
        };
        self.usable = match connectivity {
            Connectivity::Isolated => Claim::default(),
            _ if may_grow => least,
            _ => self.usable.min(least),
        };
    }

    /// Returns whether all peers know a claim of this instance.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the claim computed by [`Self::update`].
    pub fn usable(&self) -> Claim {
        self.usable
    }
}

fn with_hysteresis(published: RequestRate, need: RequestRate) -> RequestRate {
    let (published_rps, need_rps) = (published.get(), need.get());
    let is_close = need_rps <= published_rps && need_rps >= published_rps * LOWER_BELOW_SHARE;
    if is_close {
        return published;
    }
    RequestRate::clamped(need_rps * RAISE_FACTOR)
}
