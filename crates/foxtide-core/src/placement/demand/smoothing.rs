//! Smooths the demand of a region.

use super::{
    BusySlots,
    DemandByService,
    SUM_AGE_MAX,
    ServiceDemand, //
};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time constant of the mean.
///
/// At their pace, shares need 20 s for a change of 0.4. They follow a wave of 36 s too late, which
/// loads regions in the wrong half of it. This lets an eighth of such a wave pass.
const TIME_CONSTANT: Duration = Duration::from_secs(45);

/// The mean at which demand that has ended is dropped.
const NEGLIGIBLE_SLOTS: f64 = 1e-3;

/// The exponential mean of a region's demand, kept by its aggregator.
#[derive(Clone, Debug, Default)]
pub struct SmoothedDemand {
    mean: DemandByService,
    /// The time that the mean covers, up to the time constant.
    covered: Duration,
    advanced_at: Option<MonotonicTime>,
}

impl SmoothedDemand {
    /// Takes the latest sum and returns the mean. Until the time constant has passed, this is the
    /// mean of all sums so far.
    ///
    /// An aggregator that has just begun, or has not summed up for a while, goes on with
    /// `inherited`, the mean that another aggregator of the region has told last.
    pub fn advance(
        &mut self,
        sum: &DemandByService,
        inherited: Option<DemandByService>,
        now: MonotonicTime,
    ) -> &DemandByService {
        let passed = self.advanced_at.map_or(Duration::MAX, |at| now - at);
        self.advanced_at = Some(now);
        if passed <= SUM_AGE_MAX {
            self.covered = (self.covered + passed).min(TIME_CONSTANT);
            self.blend(sum, passed);
        } else if let Some(inherited) = inherited {
            self.covered = TIME_CONSTANT;
            self.mean = inherited;
        } else {
            self.covered = Duration::ZERO;
            self.mean.clone_from(sum);
        }
        &self.mean
    }

    fn blend(&mut self, sum: &DemandByService, passed: Duration) {
        if self.covered.is_zero() {
            return;
        }
        let weight = (passed.as_secs_f64() / self.covered.as_secs_f64()).min(1.0);
        for service in sum.keys() {
            self.mean.entry(*service).or_default();
        }
        let none = ServiceDemand::default();
        for (service, mean) in &mut self.mean {
            let latest = sum.get(service).unwrap_or(&none);
            blend(&mut mean.kinds, &latest.kinds, weight);
            blend(&mut mean.homed, &latest.homed, weight);
        }
        self.mean
            .retain(|_, mean| !mean.kinds.is_empty() || !mean.homed.is_empty());
    }
}

fn blend<K: Copy + Ord>(
    mean: &mut BTreeMap<K, BusySlots>,
    latest: &BTreeMap<K, BusySlots>,
    weight: f64,
) {
    for key in latest.keys() {
        mean.entry(*key).or_default();
    }
    for (key, slots) in mean.iter_mut() {
        let latest = latest.get(key).copied().unwrap_or_default().get();
        *slots = BusySlots::clamped(slots.get() + weight * (latest - slots.get()));
    }
    mean.retain(|_, slots| slots.get() >= NEGLIGIBLE_SLOTS);
}
