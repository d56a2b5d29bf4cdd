//! The demand for a service.

use super::{
    KindHash,
    RegionHash, //
};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;
use std::iter::Sum;
use std::ops::Add;

/// The share of a service's demand below which a kind is left out of messages.
const KIND_SHARE_MIN: f64 = 0.01;

/// The most kinds of a service in a message, so that one service always fits into a datagram.
const KINDS_MAX: usize = 32;

/// The most home regions of a service in a message, for the same reason.
const HOMES_MAX: usize = 16;

/// Roundings of demand between a value and twice that value, 4.4 % apart. Sums that instances
/// receive within the same second rarely differ by more.
const ROUNDINGS_PER_DOUBLING: f64 = 16.0;

/// The greatest demand that is believed: more slots than any fleet has.
const BUSY_SLOTS_MAX: f64 = 1e7;

/// A number of slots that are busy on average; finite and never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct BusySlots(f64);

impl BusySlots {
    /// No demand.
    pub const ZERO: Self = Self(0.0);

    /// Returns the nearest valid value; zero for one that is not a number.
    pub fn clamped(slots: f64) -> Self {
        if slots.is_nan() {
            return Self::ZERO;
        }
        Self(slots.clamp(0.0, BUSY_SLOTS_MAX))
    }

    /// Returns the number of slots.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns the value rounded to one of [`ROUNDINGS_PER_DOUBLING`] steps per doubling.
    fn rounded(self) -> Self {
        if self.0 < f64::MIN_POSITIVE {
            return Self::ZERO;
        }
        let steps = (self.0.log2() * ROUNDINGS_PER_DOUBLING).round();
        Self::clamped((steps / ROUNDINGS_PER_DOUBLING).exp2())
    }
}

impl Add for BusySlots {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sum for BusySlots {
    fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
        values.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for BusySlots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// The demand for one service, of one instance's callers or of a region's.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// The requests that any region may serve, by kind.
    pub kinds: BTreeMap<KindHash, BusySlots>,
    /// The requests that only their home regions may serve, by home.
    pub homed: BTreeMap<RegionHash, BusySlots>,
}

impl ServiceDemand {
    /// Returns the demand that any region may serve.
    pub fn unrestricted(&self) -> BusySlots {
        self.kinds.values().copied().sum()
    }

    /// Returns all demand.
    pub fn total(&self) -> BusySlots {
        self.unrestricted() + self.homed.values().copied().sum()
    }

    /// Adds the demand of others.
    pub fn add(&mut self, other: &Self) {
        for (kind, slots) in &other.kinds {
            let sum = self.kinds.entry(*kind).or_default();
            *sum = *sum + *slots;
        }
        for (home, slots) in &other.homed {
            let sum = self.homed.entry(*home).or_default();
            *sum = *sum + *slots;
        }
    }

    /// Returns the demand as it is sent to others: the smallest kinds count together as
    /// [`KindHash::OTHERS`].
    pub fn condensed(&self) -> Self {
        let least = self.total().get() * KIND_SHARE_MIN;
        let mut kinds = greatest(&self.kinds, least, KINDS_MAX);
        let rest =
            |(kind, slots): (&KindHash, &BusySlots)| (!kinds.contains_key(kind)).then_some(*slots);
        let others: BusySlots = self.kinds.iter().filter_map(rest).sum();
        if others > BusySlots::ZERO {
            let sum = kinds.entry(KindHash::OTHERS).or_default();
            *sum = *sum + others;
        }
        Self {
            kinds,
            homed: greatest(&self.homed, least, HOMES_MAX),
        }
    }

    /// Returns the demand with all kinds as [`KindHash::OTHERS`]. Other regions do not need more to
    /// compute the shares of their own requests.
    pub fn without_kinds(&self) -> Self {
        Self {
            kinds: [(KindHash::OTHERS, self.unrestricted())].into(),
            homed: self.homed.clone(),
        }
    }

    /// Returns the demand in coarse steps.
    pub(super) fn rounded(&self) -> Self {
        Self {
            kinds: rounded(&self.kinds),
            homed: rounded(&self.homed),
        }
    }
}

fn greatest<K: Copy + Ord>(
    slots: &BTreeMap<K, BusySlots>,
    least: f64,
    count: usize,
) -> BTreeMap<K, BusySlots> {
    let mut kept: Vec<(K, BusySlots)> = slots
        .iter()
        .filter(|(_, slots)| slots.get() > 0.0 && slots.get() >= least)
        .map(|(key, slots)| (*key, *slots))
        .collect();
    // Positive floats order like their bits.
    kept.sort_by_key(|(key, slots)| (Reverse(slots.get().to_bits()), *key));
    kept.truncate(count);
    kept.into_iter().collect()
}

fn rounded<K: Copy + Ord>(slots: &BTreeMap<K, BusySlots>) -> BTreeMap<K, BusySlots> {
    let round = |(key, slots): (&K, &BusySlots)| (*key, slots.rounded());
    slots.iter().map(round).collect()
}
