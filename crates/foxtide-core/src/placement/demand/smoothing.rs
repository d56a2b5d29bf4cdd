//! Smooths the demand on which shares rest.

use super::{
    BusySlots,
    DemandByOrigin,
    KnownDemand,
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

/// The exponential mean of the known demand.
#[derive(Clone, Debug, Default)]
pub struct SmoothedDemand {
    mean: KnownDemand,
    started_at: Option<MonotonicTime>,
    advanced_at: MonotonicTime,
}

impl SmoothedDemand {
    /// Takes the latest demand. Until the time constant has passed, the mean is that of all demand
    /// so far.
    pub fn advance(&mut self, latest: &KnownDemand, now: MonotonicTime) {
        let Some(started_at) = self.started_at else {
            self.started_at = Some(now);
            self.advanced_at = now;
            self.mean = latest.clone();
            return;
        };
        let passed_s = (now - self.advanced_at).as_secs_f64();
        let time_s = (now - started_at).min(TIME_CONSTANT).as_secs_f64();
        self.advanced_at = now;
        if time_s > 0.0 {
            blend_known(&mut self.mean, latest, (passed_s / time_s).min(1.0));
        }
    }

    /// Returns the mean in coarse steps, so that instances that received slightly different sums
    /// compute the same shares.
    pub fn rounded(&self) -> KnownDemand {
        let mut rounded = self.mean.clone();
        for demand in rounded.services.values_mut().flat_map(BTreeMap::values_mut) {
            *demand = demand.rounded();
        }
        rounded
    }
}

fn blend_known(mean: &mut KnownDemand, latest: &KnownDemand, weight: f64) {
    for (service, origins) in &latest.services {
        let known: &mut DemandByOrigin = mean.services.entry(*service).or_default();
        for region in origins.keys() {
            known.entry(*region).or_default();
        }
    }
    let none = ServiceDemand::default();
    for (service, origins) in &mut mean.services {
        for (region, demand) in origins.iter_mut() {
            let latest = latest.of(*service).and_then(|origins| origins.get(region));
            let latest = latest.unwrap_or(&none);
            blend(&mut demand.kinds, &latest.kinds, weight);
            blend(&mut demand.homed, &latest.homed, weight);
        }
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
