//! Compares samples with the contracts of an organisation.

use super::hourly_maximum::HourlyMaximum;
use super::sample::{
    Sample,
    ServiceSample, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::organisation::Organisation;
use crate::time::MonotonicTime;
use serde::Serialize;
use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::fmt;
use std::time::Duration;

/// The time over which a rate or a pace is measured.
const WINDOW: Duration = Duration::from_secs(10);

/// Tolerance for rounding errors.
const RATIO_TOLERANCE: f64 = 1e-9;

/// The share by which a full token bucket may exceed a rate within the window.
const BURST_TOLERANCE_SHARE: f64 = 0.1;

/// A kind of promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PromiseKind {
    /// A region's share grows no faster than the contract's shift cap.
    ShiftCap,
    /// The spilled share of a service stays within the contract's limit.
    SpillLimit,
    /// This instance sends a region no more than its allowed part of the sold rate.
    SoldRate,
}

impl fmt::Display for PromiseKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ShiftCap => "shift-cap",
            Self::SpillLimit => "spill-limit",
            Self::SoldRate => "sold-rate",
        })
    }
}

/// A promise and whether it is kept.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Promise {
    /// The kind.
    pub promise: PromiseKind,
    /// The service, if the promise concerns one.
    pub service: Option<ServiceId>,
    /// The region, if the promise concerns one.
    pub region: Option<RegionId>,
    /// The limit.
    pub limit: f64,
    /// The latest value.
    pub now: f64,
    /// The largest ratio of value to limit in the last hour.
    pub worst_of_limit: f64,
    /// The unit of the limit and the value.
    pub unit: &'static str,
    /// Whether the promise was kept throughout the last hour.
    pub held: bool,
}

type Key = (PromiseKind, Option<ServiceId>, Option<RegionId>);

/// The latest measurement of one promise.
#[derive(Clone, Debug, Default)]
struct Measurement {
    limit: f64,
    now: f64,
    worst_of_limit: HourlyMaximum,
}

/// Compares samples with the contracts of one organisation.
#[derive(Clone, Debug, Default)]
pub struct PromiseMonitor {
    window: VecDeque<Sample>,
    measurements: BTreeMap<Key, Measurement>,
}

impl PromiseMonitor {
    /// Adds a sample.
    pub fn add(&mut self, organisation: &Organisation, sample: Sample) {
        let now = sample.taken_at;
        self.window.push_back(sample);
        while self.window.len() > 1 && now.since(self.window[1].taken_at) >= WINDOW {
            self.window.pop_front();
        }
        self.measure(organisation, now);
    }

    /// Returns every promise, ordered by kind, service and region.
    pub fn promises(&self) -> Vec<Promise> {
        self.measurements.iter().map(to_promise).collect()
    }

    fn measure(&mut self, organisation: &Organisation, now: MonotonicTime) {
        let (Some(first), Some(last)) = (self.window.front(), self.window.back()) else {
            return;
        };
        let previous = self.window.iter().rev().nth(1).unwrap_or(last);
        // Over a shorter time every burst would exceed the rate.
        if last.taken_at.since(first.taken_at) < WINDOW {
            return;
        }
        let allowed_rps = self.largest_allowed_rps();
        let mut values = compare(organisation, &allowed_rps, first, last);
        values.extend(spilled_shares(organisation, first, previous, last));
        self.measurements
            .retain(|key, _| values.iter().any(|(known, ..)| known == key));
        for (key, limit, value) in values {
            let measurement = self.measurements.entry(key).or_default();
            measurement.limit = limit;
            let Some(value) = value else {
                continue;
            };
            measurement.now = value;
            measurement
                .worst_of_limit
                .add(ratio_to_limit(value, limit), now);
        }
    }
}

impl PromiseMonitor {
    /// Returns the largest allowed rate of each region in the window, as it may
    /// have been used before it was reduced.
    fn largest_allowed_rps(&self) -> BTreeMap<RegionId, f64> {
        let mut largest = BTreeMap::new();
        for (region, sample) in self.window.iter().flat_map(|sample| &sample.regions) {
            let allowed = largest.entry(region.clone()).or_insert(0.0_f64);
            *allowed = allowed.max(sample.allowed_rps.get());
        }
        largest
    }
}

fn to_promise((key, measurement): (&Key, &Measurement)) -> Promise {
    let (kind, service, region) = key;
    let worst_of_limit = measurement.worst_of_limit.get();
    Promise {
        promise: *kind,
        service: service.clone(),
        region: region.clone(),
        limit: measurement.limit,
        now: measurement.now,
        worst_of_limit,
        unit: match kind {
            PromiseKind::ShiftCap => "share/s",
            PromiseKind::SpillLimit => "share",
            PromiseKind::SoldRate => "rps",
        },
        held: worst_of_limit <= 1.0 + RATIO_TOLERANCE,
    }
}

/// Returns the ratio of a value to its limit.
fn ratio_to_limit(value: f64, limit: f64) -> f64 {
    if value <= 0.0 {
        0.0
    } else if limit <= 0.0 {
        // JSON cannot represent infinity.
        f64::MAX
    } else {
        value / limit
    }
}

/// A promise with its limit and its value; `None` if the last value stands.
type Comparison = (Key, f64, Option<f64>);

fn compare(
    organisation: &Organisation,
    allowed_rps: &BTreeMap<RegionId, f64>,
    first: &Sample,
    last: &Sample,
) -> Vec<Comparison> {
    let passed_s = last.taken_at.since(first.taken_at).as_secs_f64();
    let mut values = Vec::new();
    for service in &organisation.services {
        let id = &service.service;
        let (Some(before), Some(after)) = (first.services.get(id), last.services.get(id)) else {
            continue;
        };
        let cap = service.contract.shift_cap_share_per_s.get();
        for (region, increase) in share_increases(before, after) {
            let key = (PromiseKind::ShiftCap, Some(id.clone()), Some(region));
            values.push((key, cap, Some(increase / passed_s)));
        }
    }
    for (region, after) in &last.regions {
        let Some(before) = first.regions.get(region) else {
            continue;
        };
        let sent = after.sent.saturating_sub(before.sent);
        let allowed_rps =
            allowed_rps.get(region).copied().unwrap_or(0.0) * (1.0 + BURST_TOLERANCE_SHARE);
        let key = (PromiseKind::SoldRate, None, Some(region.clone()));
        values.push((key, allowed_rps, Some(sent as f64 / passed_s)));
    }
    values
}

/// Returns the increase of each region's share. The first row of a service does not
/// count as an increase.
fn share_increases(before: &ServiceSample, after: &ServiceSample) -> Vec<(RegionId, f64)> {
    if before.row.is_empty() {
        return Vec::new();
    }
    let increase = |(region, share): (&RegionId, &crate::units::Share)| {
        let old = before.row.get(region).map_or(0.0, |share| share.get());
        (region.clone(), (share.get() - old).max(0.0))
    };
    after.row.iter().map(increase).collect()
}

/// Returns the spilled shares of the services, measured while requests spill over.
///
/// A share that rises since fewer requests follow stands as it was measured: an instance decides on
/// each request before it knows how many follow, and one without requests can lower no share.
fn spilled_shares(
    organisation: &Organisation,
    first: &Sample,
    previous: &Sample,
    last: &Sample,
) -> Vec<Comparison> {
    let compared = organisation.services.iter().filter_map(|service| {
        let id = &service.service;
        let before = first.services.get(id)?;
        let after = last.services.get(id)?;
        let spilled_before = previous
            .services
            .get(id)
            .map_or(0, |sample| sample.sent_spilled);
        let share = spilled_share(before, after);
        let is_measured = share == 0.0 || after.sent_spilled > spilled_before;
        let key = (PromiseKind::SpillLimit, Some(id.clone()), None);
        let limit = service.contract.spill_limit_share.get();
        Some((key, limit, is_measured.then_some(share)))
    });
    compared.collect()
}

/// Returns the share of all requests that spilled over.
fn spilled_share(before: &ServiceSample, after: &ServiceSample) -> f64 {
    let spilled = after.sent_spilled.saturating_sub(before.sent_spilled);
    let planned = after.sent_planned.saturating_sub(before.sent_planned);
    let rejected = after.rejected.saturating_sub(before.rejected);
    if spilled == 0 {
        return 0.0;
    }
    spilled as f64 / (spilled + planned + rejected) as f64
}
