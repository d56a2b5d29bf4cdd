//! Baseline steering decisions: an even split of the limits, and the less
//! loaded of two regions.

use super::decider::{
    Attempt,
    Decider, //
};
use foxtide_core::ids::{
    RegionId,
    ServiceId, //
};
use foxtide_core::limits::TokenBucket;
use foxtide_core::organisation::Organisation;
use foxtide_core::steering::{
    Admission,
    FleetView,
    InstanceReport,
    PlannedRows,
    RejectionReason,
    SteeringOptions, //
};
use foxtide_core::time::{
    MonotonicTime,
    WallTime, //
};
use foxtide_core::units::{
    RequestRate,
    Share, //
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The number of instances among which the limits are split.
const INSTANCES: f64 = 10.0;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Follows the planned rows and splits each region's sold rate evenly among the
/// instances. The share of unhealthy regions moves to the healthy ones at once,
/// in equal parts.
pub(super) struct EvenSplit {
    organisation: Arc<Organisation>,
    rows: PlannedRows,
    unhealthy: Vec<RegionId>,
    buckets: BTreeMap<RegionId, TokenBucket>,
    wall: WallTime,
}

impl EvenSplit {
    /// Returns the row of a service without its unhealthy regions.
    fn healthy_row(&self, service: &ServiceId) -> Vec<(RegionId, f64)> {
        let planned = self.rows.row(service, self.wall).unwrap_or_default();
        let regions = self
            .organisation
            .regions
            .iter()
            .map(|region| region.region.clone());
        let is_healthy = |region: &RegionId| !self.unhealthy.contains(region);
        let mut row: Vec<(RegionId, f64)> = regions.zip(planned).collect();
        let unhealthy_share: f64 = row
            .iter()
            .filter(|(region, _)| !is_healthy(region))
            .map(|(_, s)| s)
            .sum();
        row.retain(|(region, _)| is_healthy(region));
        let healthy_count = row.len() as f64;
        for (_, share) in &mut row {
            *share += unhealthy_share / healthy_count;
        }
        row
    }

    fn reset_buckets(&mut self, now: MonotonicTime) {
        self.buckets.clear();
        for region in &self.organisation.regions {
            let rate = RequestRate::clamped(region.sold_rate_rps.get() / INSTANCES);
            let bucket = TokenBucket::new(rate, now);
            self.buckets.insert(region.region.clone(), bucket);
        }
    }
}

impl Decider for EvenSplit {
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        _options: &SteeringOptions,
    ) -> Self {
        let mut decider = Self {
            organisation: Arc::clone(organisation),
            rows: PlannedRows::new(organisation, origin, 1.0),
            unhealthy: Vec::new(),
            buckets: BTreeMap::new(),
            wall: WallTime::ZERO,
        };
        decider.reset_buckets(MonotonicTime::ZERO);
        decider
    }

    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime) {
        self.organisation = Arc::clone(organisation);
        self.reset_buckets(now);
    }

    fn observe(&mut self, _view: &FleetView, _now: MonotonicTime) {}

    fn set_health(&mut self, region: &RegionId, healthy: Share) {
        self.unhealthy.retain(|id| id != region);
        if healthy == Share::ZERO {
            self.unhealthy.push(region.clone());
        }
    }

    fn tick(&mut self, _now: MonotonicTime, wall: WallTime) {
        self.wall = wall;
    }

    fn report(&mut self, _now: MonotonicTime) -> InstanceReport {
        InstanceReport::default()
    }

    fn is_ready(&self, _now: MonotonicTime) -> bool {
        true
    }

    fn admit(&mut self, attempt: &Attempt<'_>, now: MonotonicTime) -> Admission {
        let row = self.healthy_row(attempt.service);
        let Some(planned) = draw_region(&row, attempt.draw) else {
            return reject();
        };
        let others = row
            .iter()
            .map(|(region, _)| region)
            .filter(|region| **region != planned);
        for region in std::iter::once(&planned).chain(others) {
            let bucket = self.buckets.get_mut(region).expect("a known region");
            if bucket.has_token(now) {
                bucket.take();
                return Admission::Send {
                    spilled: *region != planned,
                    region: region.clone(),
                };
            }
        }
        reject()
    }

    fn record_rejection(&mut self, _region: &RegionId, _now: MonotonicTime) {}

    fn row(&self, service: &ServiceId, _origin: &RegionId) -> Option<BTreeMap<RegionId, Share>> {
        let row = self.healthy_row(service).into_iter();
        Some(
            row.map(|(region, share)| (region, Share::clamped(share)))
                .collect(),
        )
    }
}

/// Sends to the less loaded of the planned region and one other, by the latest
/// reports of peers (Mitzenmacher, The Power of Two Choices in Randomized Load
/// Balancing, 2001). Enforces no limit.
pub(super) struct TwoChoices {
    even_split: EvenSplit,
    utilization: BTreeMap<RegionId, f64>,
    sent: BTreeMap<RegionId, u32>,
    reported_at: MonotonicTime,
}

impl TwoChoices {
    fn load(&self, region: &RegionId) -> f64 {
        self.utilization.get(region).copied().unwrap_or_default()
    }
}

impl Decider for TwoChoices {
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        options: &SteeringOptions,
    ) -> Self {
        Self {
            even_split: EvenSplit::start(organisation, origin, options),
            utilization: BTreeMap::new(),
            sent: BTreeMap::new(),
            reported_at: MonotonicTime::ZERO,
        }
    }

    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime) {
        self.even_split.configure(organisation, now);
    }

    fn observe(&mut self, view: &FleetView, _now: MonotonicTime) {
        for region in &self.even_split.organisation.regions {
            let id = &region.region;
            let limits = view
                .regions
                .values()
                .filter_map(|region| region.limits.get(id));
            let sent_rps: f64 = limits.map(|limit| limit.claim.planned_rps.get()).sum();
            let used_share = sent_rps / region.sold_rate_rps.get();
            self.utilization.insert(id.clone(), used_share);
        }
    }

    fn set_health(&mut self, region: &RegionId, healthy: Share) {
        self.even_split.set_health(region, healthy);
    }

    fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        self.even_split.tick(now, wall);
    }

    /// Reports the rate that was sent as the planned rate of its claim.
    fn report(&mut self, now: MonotonicTime) -> InstanceReport {
        let elapsed_s = now.since(self.reported_at).as_secs_f64().max(0.1);
        self.reported_at = now;
        let mut report = InstanceReport::default();
        for (region, sent) in std::mem::take(&mut self.sent) {
            let limit = report.limits.entry(region).or_default();
            limit.claim.planned_rps = RequestRate::clamped(f64::from(sent) / elapsed_s);
        }
        report
    }

    fn is_ready(&self, _now: MonotonicTime) -> bool {
        true
    }

    fn admit(&mut self, attempt: &Attempt<'_>, _now: MonotonicTime) -> Admission {
        let row = self.even_split.healthy_row(attempt.service);
        let Some(planned) = draw_region(&row, attempt.draw) else {
            return reject();
        };
        let others: Vec<&RegionId> = row
            .iter()
            .map(|(region, _)| region)
            .filter(|region| **region != planned)
            .collect();
        let index = (attempt.draw * 1e6) as usize % others.len().max(1);
        let other = others.get(index).copied().unwrap_or(&planned);
        let region = if self.load(other) < self.load(&planned) {
            other
        } else {
            &planned
        };
        *self.sent.entry(region.clone()).or_default() += 1;
        Admission::Send {
            region: region.clone(),
            spilled: *region != planned,
        }
    }

    fn record_rejection(&mut self, _region: &RegionId, _now: MonotonicTime) {}

    fn row(&self, service: &ServiceId, origin: &RegionId) -> Option<BTreeMap<RegionId, Share>> {
        self.even_split.row(service, origin)
    }
}

fn draw_region(row: &[(RegionId, f64)], draw: f64) -> Option<RegionId> {
    let mut remaining = draw;
    for (region, share) in row {
        if remaining < *share {
            return Some(region.clone());
        }
        remaining -= share;
    }
    row.last().map(|(region, _)| region.clone())
}

fn reject() -> Admission {
    Admission::Reject {
        reason: RejectionReason::RegionLimit,
        retry_after: RETRY_AFTER,
    }
}
