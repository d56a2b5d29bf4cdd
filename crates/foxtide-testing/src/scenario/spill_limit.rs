//! Checks the spill-over limit: how much is served elsewhere than planned.

use super::callers::WARM_UP;
use super::fleet::Fleet;
use super::instance::true_wall;
use super::promise::Verdict;
use super::record::Route;
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::Service;
use foxtide_core::steering::{
    PlannedRows,
    SteeringOptions, //
};
use foxtide_core::time::MonotonicTime;
use std::time::Duration;

/// The time over which the share is taken.
const WINDOW: Duration = Duration::from_secs(10);

/// The time from one check to the next.
const STEP: Duration = Duration::from_secs(1);

/// What rounding and retries may add, as a share.
const TOLERANCE_SHARE: f64 = 0.03;

/// A share that is worth a check.
const TESTED_FROM_SHARE: f64 = 0.02;

/// How long after a disturbance traffic may still be away from its plan.
const RECOVERY: Duration = Duration::from_secs(60);

/// Returns whether the spill-over of every service stayed under its limit.
///
/// Times in which something was wrong with any region are left out: what a
/// broken region cannot serve is planned anew, which is no spill-over.
pub(super) fn verdict(fleet: &Fleet) -> Verdict {
    let mut violations = Vec::new();
    let mut tested = false;
    for service in &fleet.contract.services {
        let mut from = MonotonicTime::ZERO + WARM_UP;
        while from + WINDOW <= fleet.now {
            let spilled = spilled_share(fleet, service, from);
            if !had_fault(fleet, from) {
                tested |= spilled > TESTED_FROM_SHARE;
                violations.extend(violation(service, spilled, from));
            }
            from = from + STEP;
        }
    }
    Verdict::from_violations(&violations, tested)
}

fn had_fault(fleet: &Fleet, from: MonotonicTime) -> bool {
    let since = from.saturating_sub(RECOVERY);
    let mut regions = fleet.contract.regions.iter();
    regions.any(|region| {
        let region = &region.region;
        fleet.record.had_region_fault(region, since, from + WINDOW)
    })
}

fn spilled_share(fleet: &Fleet, service: &Service, from: MonotonicTime) -> f64 {
    let mut total = 0.0;
    let mut spilled = 0.0;
    for origin in &fleet.contract.regions {
        let sent = sent(fleet, service, &origin.region, from);
        let requests = received(fleet, service, &origin.region, from);
        let planned = planned(fleet, service, &origin.region, from + WINDOW / 2);
        let beyond = sent.iter().zip(planned);
        let beyond = beyond.map(|(sent, share)| (sent - share * requests).max(0.0));
        spilled += beyond.sum::<f64>();
        total += requests;
    }
    if total > 0.0 { spilled / total } else { 0.0 }
}

/// Returns how many requests instances of a region got in a window, those that
/// they refused among them.
fn received(fleet: &Fleet, service: &Service, origin: &RegionId, from: MonotonicTime) -> f64 {
    let key = (service.service.clone(), origin.clone());
    let series = fleet.record.requests.get(&key);
    f64::from(series.map_or(0, |series| series.sum_between(from, from + WINDOW)))
}

/// Returns how many requests went to each region in a window.
fn sent(fleet: &Fleet, service: &Service, origin: &RegionId, from: MonotonicTime) -> Vec<f64> {
    let count = |target: &RegionId| {
        let route = Route {
            service: service.service.clone(),
            origin: origin.clone(),
            target: target.clone(),
        };
        let series = fleet.record.routes.get(&route);
        series.map_or(0, |series| series.sum_between(from, from + WINDOW))
    };
    let regions = fleet.contract.regions.iter();
    regions
        .map(|region| f64::from(count(&region.region)))
        .collect()
}

fn planned(fleet: &Fleet, service: &Service, origin: &RegionId, at: MonotonicTime) -> Vec<f64> {
    let factor = SteeringOptions::default().shift_cap_factor;
    let rows = PlannedRows::new(&fleet.contract, origin, factor);
    rows.row(&service.service, true_wall(at))
        .unwrap_or_default()
}

fn violation(service: &Service, spilled: f64, from: MonotonicTime) -> Option<String> {
    let limit = service.contract.spill_limit_share.get();
    let name = &service.service;
    (spilled > limit + TOLERANCE_SHARE).then(|| {
        format!("{spilled:.3} of {name} was served elsewhere from {from} on, allowed {limit:.3}")
    })
}
