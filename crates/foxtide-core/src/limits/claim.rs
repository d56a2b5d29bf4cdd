//! What an instance claims of a limit, and the least that its peers may know
//! of it.

use crate::time::MonotonicTime;
use crate::units::RequestRate;
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::VecDeque;
use std::time::Duration;

/// How far below the published claim the need must fall before it is lowered.
///
/// Each change of a claim costs its growth window; noise must not cause it.
const LOWER_BELOW_SHARE: f64 = 0.7;

/// What a raised claim adds to the need, so that noise does not raise it again.
const RAISE_FACTOR: f64 = 1.1;

/// What an instance, or all instances of a region, want to send to a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// What is planned to go there.
    pub planned_rps: RequestRate,
    /// What would go there because its planned region has no room.
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

    /// Returns what is at least either of two claims.
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

/// How an instance, or all instances of a region, use a region's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitUse {
    /// What they claim.
    pub claim: Claim,
    /// How many share in the region's sold rate by claims; the others use, or
    /// may use, their floors.
    pub region_sharers: u32,
    /// How many share in the link's sold rate by claims.
    pub link_sharers: u32,
}

impl LimitUse {
    /// Returns this use with no more sharers than another view of the same
    /// instances counts.
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

    /// Returns what is left of it when its maker is not heard: the claim still
    /// counts, but whether it shares is not known.
    pub fn claim_only(self) -> Self {
        Self {
            claim: self.claim,
            ..Self::default()
        }
    }
}

/// The claims that an instance has published for one region, of late.
#[derive(Clone, Debug, Default)]
pub struct ClaimWindow {
    published: VecDeque<(MonotonicTime, Claim)>,
    usable: Claim,
    known: bool,
    connected_since: Option<MonotonicTime>,
}

/// Whether what an instance publishes reaches those that share a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connectivity {
    /// All whose claims are counted have been heard of late.
    Full,
    /// Some have not, but have not lost their claims yet.
    Partial,
    /// The instance is cut off from the limit.
    Isolated,
}

impl ClaimWindow {
    /// Returns the claim to publish for this need, and remembers it.
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

    /// Works out the claim that the instance may count itself with.
    ///
    /// That is the least published since `now - window`, and what was in force
    /// at that time; before the first publication it is nothing. It grows only
    /// when all peers have been heard for a whole window: one that is not
    /// heard may not hear what is published either.
    pub fn settle(&mut self, window: Duration, connectivity: Connectivity, now: MonotonicTime) {
        let is_known = |(at, _): &(MonotonicTime, Claim)| now.since(*at) >= window;
        while self.published.get(1).is_some_and(is_known) {
            self.published.pop_front();
        }
        let claims = self.published.iter().map(|(_, claim)| *claim);
        let mut least = claims.reduce(Claim::min).unwrap_or_default();
        let published = self.published.front().is_some_and(is_known);
        if !published {
            least = Claim::default();
        }
        if connectivity != Connectivity::Full {
            self.connected_since = None;
        }
        let may_grow = connectivity == Connectivity::Full && {
            let since = *self.connected_since.get_or_insert(now);
            now.since(since) >= window
        };
        self.known = match connectivity {
            Connectivity::Isolated => false,
            _ => self.known || (may_grow && published),
        };
        self.usable = match connectivity {
            Connectivity::Isolated => Claim::default(),
            _ if may_grow => least,
            _ => self.usable.min(least),
        };
    }

    /// Tells whether all others know of a claim of this instance.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns what [`Self::settle`] worked out.
    pub fn usable(&self) -> Claim {
        self.usable
    }
}

fn with_hysteresis(published: RequestRate, need: RequestRate) -> RequestRate {
    let (published_rps, need_rps) = (published.get(), need.get());
    let within = need_rps <= published_rps && need_rps >= published_rps * LOWER_BELOW_SHARE;
    if within {
        return published;
    }
    RequestRate::clamped(need_rps * RAISE_FACTOR)
}
