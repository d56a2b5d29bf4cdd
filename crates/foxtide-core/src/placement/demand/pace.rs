//! Moves regional shares gradually.

use crate::ids::RegionId;
use crate::placement::RegionShares;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// How much of the requests of one origin and kind moves between regions per second. Organisations
/// are promised at most 0.15 in 2 s; this takes a quarter and leaves the rest to changes of
/// upstreams and homes.
const PACE_PER_S: f64 = 0.02;

/// The distance to the target from which shares begin to move. A moved object is a first access at
/// its new upstream, which costs more than a small imbalance.
const DISTANCE_MIN: f64 = 0.05;

/// The longest time of which the movement is made up at once, after a stall.
const STEP_TIME_MAX: Duration = Duration::from_secs(2);

/// The change of the shares from which the weights of upstreams are computed anew.
const NOTICEABLE_STEP: f64 = 0.01;

/// The difference up to which shares count as equal.
const REACHED_DISTANCE: f64 = 1e-9;

/// A change to regional shares; sums to 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareShift {
    by_region: BTreeMap<RegionId, f64>,
}

impl ShareShift {
    /// Returns the change that makes `target` of `base`.
    pub fn between(base: &RegionShares, target: &RegionShares) -> Self {
        let mut by_region = target.clone();
        for (region, share) in base {
            *by_region.entry(region.clone()).or_default() -= share;
        }
        by_region.retain(|_, change| change.abs() > REACHED_DISTANCE);
        Self { by_region }
    }

    /// Tells whether it changes nothing.
    pub fn is_none(&self) -> bool {
        self.by_region.is_empty()
    }

    /// Returns the changed shares. Regions that are not in `base` have no slots and get none.
    pub fn apply(&self, base: &RegionShares) -> RegionShares {
        if self.is_none() {
            return base.clone();
        }
        let shifted = base.iter().map(|(region, share)| {
            let change = self.by_region.get(region).copied().unwrap_or_default();
            (region.clone(), (share + change).max(0.0))
        });
        let mut shifted: RegionShares = shifted.collect();
        let total: f64 = shifted.values().sum();
        if total <= f64::EPSILON {
            return base.clone();
        }
        for share in shifted.values_mut() {
            *share /= total;
        }
        shifted
    }

    /// Returns the part of the requests that differs.
    pub fn distance(&self, other: &Self) -> f64 {
        let of = |shift: &Self, region: &RegionId| shift.by_region.get(region).copied();
        let mut sum = 0.0;
        for (region, change) in &self.by_region {
            sum += (change - of(other, region).unwrap_or_default()).abs();
        }
        for (region, change) in &other.by_region {
            if of(self, region).is_none() {
                sum += change.abs();
            }
        }
        sum / 2.0
    }

    /// Moves towards `target` by at most `step`; tells whether it is reached.
    fn step_towards(&mut self, target: &Self, step: f64) -> bool {
        let distance = self.distance(target);
        if distance <= step.max(REACHED_DISTANCE) {
            *self = target.clone();
            return true;
        }
        let part = step / distance;
        for region in target.by_region.keys() {
            self.by_region.entry(region.clone()).or_default();
        }
        for (region, change) in &mut self.by_region {
            let target = target.by_region.get(region).copied().unwrap_or_default();
            *change += part * (target - *change);
        }
        false
    }
}

/// A shift that follows its target at a limited pace.
#[derive(Clone, Debug, Default)]
pub struct PacedShift {
    current: ShareShift,
    /// The shift as last published.
    published: ShareShift,
    is_moving: bool,
    advanced_at: Option<MonotonicTime>,
    generation: u64,
}

impl PacedShift {
    /// Moves towards `target` by what the time since the last call allows.
    ///
    /// Without a target, this is to the shares without a shift.
    pub fn advance(&mut self, target: &ShareShift, now: MonotonicTime) {
        let passed = self.advanced_at.map_or(Duration::ZERO, |at| now - at);
        self.advanced_at = Some(now);
        let distance = self.current.distance(target);
        self.is_moving |= distance >= DISTANCE_MIN;
        if !self.is_moving {
            return;
        }
        let step = PACE_PER_S * passed.min(STEP_TIME_MAX).as_secs_f64();
        let is_reached = self.current.step_towards(target, step);
        self.is_moving = !is_reached;
        let change = self.current.distance(&self.published);
        if change >= NOTICEABLE_STEP || (is_reached && self.current != self.published) {
            self.published = self.current.clone();
            self.generation += 1;
        }
    }

    /// Takes over the target at once: other instances of the region have it in force already.
    pub fn adopt(&mut self, target: &ShareShift, now: MonotonicTime) {
        self.advanced_at = Some(now);
        self.is_moving = false;
        self.current = target.clone();
        self.published = target.clone();
        self.generation += 1;
    }

    /// Returns the shift in force.
    pub fn shift(&self) -> &ShareShift {
        &self.published
    }

    /// Returns a number that changes with the shift in force.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}
