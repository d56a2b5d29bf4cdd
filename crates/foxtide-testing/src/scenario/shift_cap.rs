//! Check of the shift cap: the rate at which the share of a region changes.
//!
//! The share of a region is the mean over the instances, weighted by the requests that
//! they receive. Both samples of a change use the weights of the later one, so that
//! callers who switch instances do not count as a shift.

use super::callers::WARM_UP;
use super::fleet::Fleet;
use super::promise::Verdict;
use super::record::RowSample;
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::organisation::Service;
use foxtide_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between the two samples of a change.
const WINDOW: Duration = Duration::from_secs(10);

/// Allowance for rounding and uneven arrivals.
const TOLERANCE_SHARE: f64 = 0.01;

/// Changes above this share count as a test of the cap.
const TESTED_FROM_SHARE: f64 = 0.03;

/// Time after a fault in which a region may lose traffic at any rate.
const RECOVERY: Duration = Duration::from_secs(20);

type Samples<'a> = BTreeMap<MonotonicTime, Vec<&'a RowSample>>;

/// Change of the share of a region within one window.
struct Shift<'a> {
    service: &'a Service,
    region: &'a RegionId,
    from: MonotonicTime,
    to: MonotonicTime,
    share: f64,
}

/// Checks that no share changed faster than the shift cap of its service.
pub(super) fn verdict(fleet: &Fleet) -> Verdict {
    let mut violations = Vec::new();
    let mut tested = false;
    for service in &fleet.organisation.services {
        for shift in shifts(fleet, service) {
            tested |= shift.share.abs() > TESTED_FROM_SHARE;
            violations.extend(violation(fleet, &shift));
        }
    }
    Verdict::from_violations(&violations, tested)
}

fn shifts<'a>(fleet: &'a Fleet, service: &'a Service) -> Vec<Shift<'a>> {
    let samples = samples_of(fleet, &service.service);
    let mut shifts = Vec::new();
    for (from, before) in &samples {
        let to = *from + WINDOW;
        let Some(after) = samples.get(&to) else {
            continue;
        };
        for region in &fleet.organisation.regions {
            shifts.push(Shift {
                service,
                region: &region.region,
                from: *from,
                to,
                share: share_change(before, after, &region.region),
            });
        }
    }
    shifts
}

fn samples_of<'a>(fleet: &'a Fleet, service: &ServiceId) -> Samples<'a> {
    let mut samples = Samples::new();
    let warmed_up_at = MonotonicTime::ZERO + WARM_UP;
    let rows = fleet.record.rows.iter();
    for row in rows.filter(|row| row.service == *service && row.at >= warmed_up_at) {
        samples.entry(row.at).or_default().push(row);
    }
    samples
}

/// Returns the change of the share of a region, weighted by the later arrivals.
fn share_change(before: &[&RowSample], after: &[&RowSample], region: &RegionId) -> f64 {
    let weight = |sample: &&RowSample| f64::from(sample.arrivals);
    let total: f64 = after.iter().map(weight).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let moved = after.iter().map(|sample| {
        let share_before = share_before(before, sample, region);
        weight(sample) * (share(sample, region) - share_before)
    });
    moved.sum::<f64>() / total
}

/// Returns the earlier share of the instance. For one that has just started it is the mean
/// of its region, or of the fleet if the region has no other sample.
fn share_before(before: &[&RowSample], sample: &RowSample, region: &RegionId) -> f64 {
    let own_sample = before.iter().find(|old| old.instance == sample.instance);
    if let Some(own_sample) = own_sample {
        return share(own_sample, region);
    }
    let local = mean(
        before.iter().filter(|old| old.origin == sample.origin),
        region,
    );
    local.or_else(|| mean(before.iter(), region)).unwrap_or(0.0)
}

fn mean<'a>(samples: impl Iterator<Item = &'a &'a RowSample>, region: &RegionId) -> Option<f64> {
    let shares: Vec<f64> = samples.map(|sample| share(sample, region)).collect();
    let count = shares.len();
    (count > 0).then(|| shares.iter().sum::<f64>() / count as f64)
}

fn share(sample: &RowSample, region: &RegionId) -> f64 {
    sample.row.get(region).copied().unwrap_or(0.0)
}

fn violation(fleet: &Fleet, shift: &Shift<'_>) -> Option<String> {
    let cap = shift.service.contract.shift_cap_share_per_s.get();
    let allowed = cap * WINDOW.as_secs_f64() + TOLERANCE_SHARE;
    let fell = shift.share < 0.0;
    let since = shift.from.saturating_sub(RECOVERY);
    let is_forced = fell && fleet.record.had_region_fault(shift.region, since, shift.to);
    if shift.share.abs() <= allowed || is_forced {
        return None;
    }
    let (service, region) = (&shift.service.service, shift.region);
    let (share, to) = (shift.share, shift.to);
    Some(format!(
        "the share of {region} in {service} changed by {share:.3} in the 10 s to {to}, \
         limit {allowed:.3}"
    ))
}
