//! Fair shares of an upstream's slots among the organisations that wait for them.
//!
//! Addresses the load in which one organisation sends several times its usual rate to an upstream
//! near capacity. Organisations are ordered by the service time that they used in the last
//! 5 s: one that used more than the mean of all is served after the others, one that was passed
//! over is served before them. Nothing is held back: a lone organisation uses all slots.

use super::request::SlotRequest;
use crate::time::MonotonicTime;
use crate::units::RequestRate;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The length of a period. Use expires by whole periods.
const PERIOD: Duration = Duration::from_millis(500);

/// The periods in which use counts, 5 s in all: several requests of each organisation even where
/// one takes 1.4 s, and short against the minutes that a flood lasts.
const PERIODS: usize = 10;

/// How much more than its fair share an organisation may use before it no longer gets the place
/// beyond the slots: a tenth of the time of one slot in the window, which is one or two requests.
/// A smaller excess does not tell a flood from chance.
const EXCESS_MAX: Duration = Duration::from_millis(500);

/// The organisation that a request counts for; requests without one count as one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct OrganisationKey(Option<u64>);

impl OrganisationKey {
    /// Returns the key of the organisation that a request counts for.
    pub(super) fn of(request: &SlotRequest) -> Self {
        let organisation = request.organisation.as_ref();
        Self(organisation.map(|organisation| xxh3_64(organisation.as_str().as_bytes())))
    }
}

/// What an organisation is charged for a request when it begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charge {
    pub(super) organisation: OrganisationKey,
    /// The expected service time; zero while it is unknown.
    pub(super) expected: Duration,
}

/// The use of one organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Microseconds by period, at the index of its number modulo [`PERIODS`]. One is negative
    /// where more was returned than charged in it.
    used_us: [i64; PERIODS],
    /// The number of the newest period that is held.
    newest: u64,
    /// When the organisation asked or used a slot last.
    seen_at: MonotonicTime,
    /// The rate that was sold to the organisation, if any.
    sold_rate: Option<RequestRate>,
}

impl Usage {
    /// Adds microseconds to the current period.
    fn add(&mut self, used_us: i64, now: MonotonicTime) {
        let period = period_at(now).max(self.newest);
        let expired = (period - self.newest).min(PERIODS as u64);
        for number in 0..expired {
            self.used_us[index_of(period - number)] = 0;
        }
        self.newest = period;
        self.used_us[index_of(period)] += used_us;
        self.seen_at = now;
    }

    /// Returns what was used in the last [`PERIODS`].
    fn used(&self, now: MonotonicTime) -> Duration {
        let oldest = (period_at(now) + 1).saturating_sub(PERIODS as u64);
        let first_held = (self.newest + 1).saturating_sub(PERIODS as u64);
        let periods = oldest.max(first_held)..=self.newest;
        let used_us: i64 = periods.map(|period| self.used_us[index_of(period)]).sum();
        Duration::from_micros(u64::try_from(used_us).unwrap_or_default())
    }

    fn rate_rps(&self) -> Option<f64> {
        let rate_rps = self.sold_rate.map(RequestRate::get);
        rate_rps.filter(|rate_rps| *rate_rps > 0.0)
    }

    fn is_current(&self, now: MonotonicTime) -> bool {
        now - self.seen_at < PERIOD * PERIODS as u32
    }
}

/// The service time that organisations used at one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShare {
    usages: HashMap<OrganisationKey, Usage>,
}

impl FairShare {
    /// Records that an organisation asks for a slot, so that it counts among those that share
    /// the slots.
    pub(super) fn record_ask(
        &mut self,
        organisation: OrganisationKey,
        sold_rate: Option<RequestRate>,
        now: MonotonicTime,
    ) {
        self.add(organisation, 0, now).sold_rate = sold_rate;
    }

    /// Charges the expected service time of a request that begins.
    pub(super) fn charge(&mut self, charge: Charge, now: MonotonicTime) {
        self.add(charge.organisation, micros(charge.expected), now);
    }

    /// Replaces the charge of a request that ends by the time for which it held its slot.
    pub(super) fn settle(&mut self, charge: Charge, held: Duration, now: MonotonicTime) {
        self.add(
            charge.organisation,
            micros(held) - micros(charge.expected),
            now,
        );
    }

    /// Returns the used service times of all organisations.
    pub(super) fn used(&self, now: MonotonicTime) -> UsedTimes<'_> {
        let current = || self.usages.values().filter(|usage| usage.is_current(now));
        let rates = || current().filter_map(Usage::rate_rps);
        let mean_rate_rps = rates().sum::<f64>() / rates().count().max(1) as f64;
        let total: Duration = current().map(|usage| usage.used(now)).sum();
        UsedTimes {
            usages: &self.usages,
            mean_rate_rps,
            fair: total / (current().count() as u32).max(1),
            now,
        }
    }

    /// Adds to the use of an organisation; a new one takes the place of those that have not been
    /// seen within the window.
    fn add(
        &mut self,
        organisation: OrganisationKey,
        used_us: i64,
        now: MonotonicTime,
    ) -> &mut Usage {
        if !self.usages.contains_key(&organisation) {
            self.usages.retain(|_, usage| usage.is_current(now));
        }
        let usage = self.usages.entry(organisation).or_default();
        usage.add(used_us, now);
        usage
    }
}

/// The service times that the organisations used up to one moment.
#[derive(Debug)]
pub(super) struct UsedTimes<'a> {
    usages: &'a HashMap<OrganisationKey, Usage>,
    /// The mean of the rates that were sold to the organisations seen within the window.
    mean_rate_rps: f64,
    /// The mean use of these organisations.
    fair: Duration,
    now: MonotonicTime,
}

impl UsedTimes<'_> {
    /// Returns the service time that an organisation used, divided by its weight: the rate that was
    /// sold to it in relation to the mean. An organisation without such a rate weighs 1.
    pub(super) fn of(&self, organisation: OrganisationKey) -> Duration {
        let Some(usage) = self.usages.get(&organisation) else {
            return Duration::ZERO;
        };
        let used = usage.used(self.now);
        match usage.rate_rps() {
            Some(rate_rps) => used.mul_f64(self.mean_rate_rps / rate_rps),
            None => used,
        }
    }

    /// Returns whether an organisation used clearly more than its fair share.
    pub(super) fn is_excessive(&self, organisation: OrganisationKey) -> bool {
        self.of(organisation) >= self.fair + EXCESS_MAX
    }

    /// Returns the largest difference between two of the organisations.
    pub(super) fn spread(
        &self,
        organisations: impl Iterator<Item = OrganisationKey> + Clone,
    ) -> Duration {
        let used = organisations.map(|organisation| self.of(organisation));
        let least = used.clone().min().unwrap_or_default();
        used.max().unwrap_or_default() - least
    }
}

fn period_at(now: MonotonicTime) -> u64 {
    now.as_us() / PERIOD.as_micros() as u64
}

fn index_of(period: u64) -> usize {
    (period % PERIODS as u64) as usize
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
