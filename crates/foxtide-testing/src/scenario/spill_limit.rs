//! Check of the spill-over limit: the share of requests sent to other regions than planned.

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

/// Window over which the share is computed.
const WINDOW: Duration = Duration::from_secs(10);

/// Time between the starts of two windows.
const STEP: Duration = Duration::from_secs(1);

/// Allowance for rounding and retries.
const TOLERANCE_SHARE: f64 = 0.03;

/// Spill-over above this share counts as a test of the limit.
const TESTED_FROM_SHARE: f64 = 0.02;

/// Time after a fault in which traffic may still deviate from the plan.
const RECOVERY: Duration = Duration::from_secs(60);

/// Checks that the spill-over of every service stayed within its limit.
///
/// Windows with a fault in any region are skipped: traffic that a failed region cannot
/// serve is planned again and does not count as spill-over.
pub(super) fn verdict(fleet: &Fleet) -> Verdict {
    let mut violations = Vec::new();
    let mut tested = false;
    for service in &fleet.organisation.services {
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
    let mut regions = fleet.organisation.regions.iter();
    regions.any(|region| {
        let region = &region.region;
        fleet.record.had_region_fault(region, since, from + WINDOW)
    })
}

fn spilled_share(fleet: &Fleet, service: &Service, from: MonotonicTime) -> f64 {
    let mut total = 0.0;
    let mut spilled = 0.0;
    for origin in &fleet.organisation.regions {
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

/// Returns the number of requests that the instances of a region received in a window,
/// including rejected ones.
fn received(fleet: &Fleet, service: &Service, origin: &RegionId, from: MonotonicTime) -> f64 {
    let key = (service.service.clone(), origin.clone());
    let series = fleet.record.requests.get(&key);
    f64::from(series.map_or(0, |series| series.sum_between(from, from + WINDOW)))
}

/// Returns the number of requests sent to each region in a window.
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
    let regions = fleet.organisation.regions.iter();
    regions
        .map(|region| f64::from(count(&region.region)))
        .collect()
}

fn planned(fleet: &Fleet, service: &Service, origin: &RegionId, at: MonotonicTime) -> Vec<f64> {
    let factor = SteeringOptions::default().shift_cap_factor;
    let rows = PlannedRows::new(&fleet.organisation, origin, factor);
    rows.row(&service.service, true_wall(at))
        .unwrap_or_default()
}

fn violation(service: &Service, spilled: f64, from: MonotonicTime) -> Option<String> {
    let limit = service.contract.spill_limit_share.get();
    let name = &service.service;
    (spilled > limit + TOLERANCE_SHARE).then(|| {
        format!("{spilled:.3} of {name} spilled over in the 10 s from {from}, limit {limit:.3}")
    })
}
