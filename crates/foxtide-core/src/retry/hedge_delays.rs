//! The delays of hedges by kind of request and access.

use super::HedgeDelay;
use super::recent_accesses::RecentAccesses;
use crate::admission::ObjectAccess;
use crate::ids::UpstreamId;
use crate::placement::ObjectKey;
use crate::routing::RequestKind;
use std::collections::HashMap;
use std::time::Duration;

/// The number of requests after which an estimate is used. It begins at the latency of the first
/// request, which half of the requests exceed, and rises by 1.9 % with each that does.
const SAMPLES_MIN: u32 = 100;

/// The number of kinds with estimates; requests of further ones are not hedged. Kinds of routes that
/// are no longer configured are not removed.
const KINDS_MAX: usize = 512;

/// The requests that have one hedge delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeClass {
    /// Their kind.
    pub kind: RequestKind,
    /// Whether the upstream served their object recently.
    pub access: ObjectAccess,
}

/// An estimate and the number of its samples, up to the minimum.
#[derive(Clone, Debug)]
struct Estimate {
    delay: HedgeDelay,
    samples: u32,
}

/// The estimates of a kind.
#[derive(Clone, Debug, Default)]
struct KindEstimates {
    first: Option<Estimate>,
    repeated: Option<Estimate>,
}

/// Estimates for each kind and access after which time a request is among the slowest 5 in 100.
#[derive(Clone, Debug, Default)]
pub struct HedgeDelays {
    kinds: HashMap<RequestKind, KindEstimates>,
    accesses: RecentAccesses,
}

impl HedgeDelays {
    /// Returns the class of a request to an upstream.
    pub fn class(
        &self,
        kind: RequestKind,
        upstream: &UpstreamId,
        object: Option<ObjectKey>,
    ) -> HedgeClass {
        let access = match object {
            Some(object) if self.accesses.contains(upstream, object) => ObjectAccess::Repeated,
            _ => ObjectAccess::First,
        };
        HedgeClass { kind, access }
    }

    /// Returns the time after which a request gets a hedge; `None` as long as too few requests of
    /// its class are known.
    pub fn delay(&self, class: HedgeClass) -> Option<Duration> {
        let kind = self.kinds.get(&class.kind)?;
        let estimate = match class.access {
            ObjectAccess::First => kind.first.as_ref(),
            ObjectAccess::Repeated => kind.repeated.as_ref(),
        };
        let estimate = estimate.filter(|estimate| estimate.samples >= SAMPLES_MIN)?;
        Some(estimate.delay.get())
    }

    /// Records how long a request took, or had taken when it was cancelled in favour of its hedge:
    /// without the latter, hedges would lower the estimate.
    pub fn record(&mut self, class: HedgeClass, time: Duration) {
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&class.kind) {
            return;
        }
        let kind = self.kinds.entry(class.kind).or_default();
        let estimate = match class.access {
            ObjectAccess::First => &mut kind.first,
            ObjectAccess::Repeated => &mut kind.repeated,
        };
        let estimate = estimate.get_or_insert_with(|| Estimate {
            delay: HedgeDelay::starting_at(time),
            samples: 0,
        });
        estimate.delay.record(time);
        estimate.samples = (estimate.samples + 1).min(SAMPLES_MIN);
    }

    /// Records that an upstream served an object.
    pub fn record_served(&mut self, upstream: &UpstreamId, object: ObjectKey) {
        self.accesses.insert(upstream, object);
    }
}
