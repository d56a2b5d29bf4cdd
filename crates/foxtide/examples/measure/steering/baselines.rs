//! Simpler ways of deciding, kept to compare with.

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

/// How many instances the limits are split among.
const INSTANCES: f64 = 10.0;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Follows the plan, fails over at once by the homes' weights, and has an even
/// part of each region's sold rate.
pub(super) struct EvenSplit {
    organisation: Arc<Organisation>,
    rows: PlannedRows,
    unhealthy: Vec<RegionId>,
    buckets: BTreeMap<RegionId, TokenBucket>,
    wall: WallTime,
}

impl EvenSplit {
    /// Returns the row of a service with unhealthy regions left out.
    fn healthy_row(&self, service: &ServiceId) -> Vec<(RegionId, f64)> {
        let planned = self.rows.row(service, self.wall).unwrap_or_default();
        let regions = self
            .organisation
            .regions
            .iter()
            .map(|region| region.region.clone());
        let healthy = |region: &RegionId| !self.unhealthy.contains(region);
        let mut row: Vec<(RegionId, f64)> = regions.zip(planned).collect();
        let lost: f64 = row
            .iter()
            .filter(|(region, _)| !healthy(region))
            .map(|(_, s)| s)
            .sum();
        row.retain(|(region, _)| healthy(region));
        let staying = row.len() as f64;
        for (_, share) in &mut row {
            *share += lost / staying;
        }
        row
    }

    fn set_parts(&mut self, now: MonotonicTime) {
        self.buckets.clear();
        for region in &self.organisation.regions {
            let part = RequestRate::clamped(region.sold_rate_rps.get() / INSTANCES);
            let bucket = TokenBucket::new(part, now);
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
        decider.set_parts(MonotonicTime::ZERO);
        decider
    }

    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime) {
        self.organisation = Arc::clone(organisation);
        self.set_parts(now);
    }

    fn observe(&mut self, _view: &FleetView, _now: MonotonicTime) {}

    fn set_health(&mut self, region: &RegionId, healthy: Share) {
        self.unhealthy.retain(|known| known != region);
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
        let Some(planned) = drawn(&row, attempt.draw) else {
            return refuse();
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
        refuse()
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

/// Sends to the less loaded of the planned and one other region, by what peers
/// reported last (Mitzenmacher, The Power of Two Choices in Randomized Load
/// Balancing, 2001). It keeps no limit of its own.
pub(super) struct TwoChoices {
    way: EvenSplit,
    use_of_sold: BTreeMap<RegionId, f64>,
    sent: BTreeMap<RegionId, u32>,
    reported_at: MonotonicTime,
}

impl TwoChoices {
    fn load(&self, region: &RegionId) -> f64 {
        self.use_of_sold.get(region).copied().unwrap_or_default()
    }
}

impl Decider for TwoChoices {
    fn start(
        organisation: &Arc<Organisation>,
        origin: &RegionId,
        options: &SteeringOptions,
    ) -> Self {
        Self {
            way: EvenSplit::start(organisation, origin, options),
            use_of_sold: BTreeMap::new(),
            sent: BTreeMap::new(),
            reported_at: MonotonicTime::ZERO,
        }
    }

    fn configure(&mut self, organisation: &Arc<Organisation>, now: MonotonicTime) {
        self.way.configure(organisation, now);
    }

    fn observe(&mut self, view: &FleetView, _now: MonotonicTime) {
        for region in &self.way.organisation.regions {
            let id = &region.region;
            let limits = view.regions.values().filter_map(|told| told.limits.get(id));
            let sent_rps: f64 = limits.map(|limit| limit.claim.planned_rps.get()).sum();
            let used = sent_rps / region.sold_rate_rps.get();
            self.use_of_sold.insert(id.clone(), used);
        }
    }

    fn set_health(&mut self, region: &RegionId, healthy: Share) {
        self.way.set_health(region, healthy);
    }

    fn tick(&mut self, now: MonotonicTime, wall: WallTime) {
        self.way.tick(now, wall);
    }

    /// Tells what it sent, in the place of a claim.
    fn report(&mut self, now: MonotonicTime) -> InstanceReport {
        let passed_s = now.since(self.reported_at).as_secs_f64().max(0.1);
        self.reported_at = now;
        let mut report = InstanceReport::default();
        for (region, sent) in std::mem::take(&mut self.sent) {
            let limit = report.limits.entry(region).or_default();
            limit.claim.planned_rps = RequestRate::clamped(f64::from(sent) / passed_s);
        }
        report
    }

    fn is_ready(&self, _now: MonotonicTime) -> bool {
        true
    }

    fn admit(&mut self, attempt: &Attempt<'_>, _now: MonotonicTime) -> Admission {
        let row = self.way.healthy_row(attempt.service);
        let Some(planned) = drawn(&row, attempt.draw) else {
            return refuse();
        };
        let others: Vec<&RegionId> = row
            .iter()
            .map(|(region, _)| region)
            .filter(|region| **region != planned)
            .collect();
        let place = (attempt.draw * 1e6) as usize % others.len().max(1);
        let other = others.get(place).copied().unwrap_or(&planned);
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
        self.way.row(service, origin)
    }
}

fn drawn(row: &[(RegionId, f64)], draw: f64) -> Option<RegionId> {
    let mut left = draw;
    for (region, share) in row {
        if left < *share {
            return Some(region.clone());
        }
        left -= share;
    }
    row.last().map(|(region, _)| region.clone())
}

fn refuse() -> Admission {
    Admission::Reject {
        reason: RejectionReason::RegionLimit,
        retry_after: RETRY_AFTER,
    }
}
