//! Counts requests and violations of promises in a scenario.

#![allow(dead_code)] // The tests and the example `measure` each use a part.

use super::fixture::{
    REGIONS,
    SERVICES, //
};
use super::fleet::STEP_MS;
use super::scenario::Scenario;
use foxtide_core::steering::RejectionReason;
use std::collections::VecDeque;

/// The window over which sold rates are checked, in steps.
const RATE_STEPS: usize = 10;

/// The window over which the shift cap is checked, in steps.
const SHIFT_STEPS: usize = 100;

/// The time in which the instances start and discover one another.
pub(crate) const WARM_UP_MS: u64 = 10_000;

const WARM_UP_STEPS: usize = (WARM_UP_MS / STEP_MS) as usize;

type ByRegion<T> = [T; REGIONS.len()];

/// The share of each service that goes to each region.
type Shares = [ByRegion<f64>; SERVICES.len()];

/// The tolerance for random deviations of spill-over, in standard deviations.
const SPILL_SIGMAS: f64 = 5.0;

/// A service's cumulative counts.
#[derive(Clone, Copy, Debug, Default)]
struct SpillCounts {
    asked: u64,
    spilled: u64,
}

/// The requests sent in one step.
#[derive(Clone, Debug, Default)]
struct Sent {
    /// Counts by the sending instance's region, then the upstream's region.
    counts: ByRegion<ByRegion<u64>>,
}

/// The counts of one service since the end of the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceTally {
    /// New requests.
    pub(crate) asked: u64,
    /// Requests sent.
    pub(crate) sent: u64,
    /// Requests sent to a region that could serve them.
    pub(crate) served: u64,
    /// Requests that spilled over to another region.
    pub(crate) spilled: u64,
    /// Requests rejected for lack of capacity.
    pub(crate) rejected_for_capacity: u64,
    /// Requests rejected for other reasons, mostly the shift cap.
    pub(crate) rejected_for_cap: u64,
}

/// The counts and violations of a scenario.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// The counts by service.
    pub(crate) services: [ServiceTally; SERVICES.len()],
    /// The steps at which a region's share had risen faster than the cap.
    pub(crate) steps_over_cap: u64,
    /// The fastest rise over the cap's window, relative to the cap.
    pub(crate) fastest_of_cap: f64,
    /// The fastest rise within one second above the highest share of the cap's
    /// window, relative to the cap.
    pub(crate) fastest_second_of_cap: f64,
    /// The seconds in which a region received more than its sold rate.
    pub(crate) seconds_over_region: u64,
    /// The seconds in which a link carried more than its sold rate.
    pub(crate) seconds_over_link: u64,
    /// The steps at which spill-over exceeded its limit.
    pub(crate) steps_over_spill: u64,
    /// The number of one-second windows checked.
    pub(crate) seconds: u64,
    /// The highest rate of a region in one second, relative to its sold rate.
    pub(crate) fullest_region: f64,
    /// The shares of the last step.
    pub(crate) last_shares: Shares,
    /// Requests rejected for lack of capacity while some region had free capacity.
    pub(crate) rejected_with_capacity: f64,
    rejected_for_cap_ms: Option<u64>,
    sent_window: VecDeque<Sent>,
    shares: VecDeque<Shares>,
    rejected_in_step: u64,
    rejected_window: VecDeque<u64>,
    spill_window: VecDeque<[SpillCounts; SERVICES.len()]>,
    spill_limit_share: f64,
    steps: usize,
    cap_per_s: f64,
    region_rps: f64,
    link_rps: f64,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        Self {
            services: Default::default(),
            steps_over_cap: 0,
            fastest_of_cap: 0.0,
            fastest_second_of_cap: 0.0,
            seconds_over_region: 0,
            seconds_over_link: 0,
            steps_over_spill: 0,
            seconds: 0,
            fullest_region: 0.0,
            last_shares: Default::default(),
            rejected_with_capacity: 0.0,
            rejected_for_cap_ms: None,
            sent_window: VecDeque::from([Sent::default()]),
            shares: VecDeque::new(),
            rejected_in_step: 0,
            rejected_window: VecDeque::new(),
            spill_window: VecDeque::new(),
            spill_limit_share: scenario.options.spill_limit_share,
            steps: 0,
            cap_per_s: scenario.options.shift_cap_share_per_s,
            region_rps: scenario.options.region_rps,
            link_rps: scenario.options.link_rps,
        }
    }

    /// Counts a new request.
    pub(crate) fn record_arrival(&mut self, service: usize) {
        self.services[service].asked += 1;
    }

    pub(crate) fn record_rejection(&mut self, service: usize, reason: RejectionReason) {
        let counts = &mut self.services[service];
        match reason {
            RejectionReason::RegionLimit | RejectionReason::LinkLimit => {
                counts.rejected_for_capacity += 1;
                self.rejected_in_step += 1;
            }
            _ => {
                counts.rejected_for_cap += 1;
                self.rejected_for_cap_ms = Some(self.steps as u64 * STEP_MS);
            }
        }
    }

    pub(crate) fn record_send(
        &mut self,
        from: usize,
        to: usize,
        service: usize,
        spilled: bool,
        served: bool,
    ) {
        let counts = &mut self.services[service];
        counts.sent += 1;
        counts.spilled += u64::from(spilled);
        counts.served += u64::from(served);
        let step = self.sent_window.back_mut().expect("a step is open");
        step.counts[from][to] += 1;
    }

    /// Returns the time from `since_ms` to the last rejection for the shift cap, in
    /// seconds.
    pub(crate) fn recovered_after_s(&self, since_ms: u64) -> f64 {
        let last_ms = self.rejected_for_cap_ms.unwrap_or(since_ms);
        last_ms.saturating_sub(since_ms) as f64 / 1_000.0
    }

    /// Records the share of a service that goes to each region.
    pub(crate) fn record_shares(&mut self, service: usize, shares: ByRegion<f64>) {
        self.last_shares[service] = shares;
    }

    /// Ends a step and checks the windows that end with it.
    pub(crate) fn end_step(&mut self) {
        self.steps += 1;
        if self.steps == WARM_UP_STEPS {
            self.services = Default::default();
            self.spill_window.clear();
        }
        self.check_spill();
        self.check_rates();
        self.check_shares();
    }

    fn check_spill(&mut self) {
        let counts = self.services.each_ref().map(|counts| SpillCounts {
            asked: counts.asked,
            spilled: counts.spilled,
        });
        self.spill_window.push_back(counts);
        if self.spill_window.len() <= SHIFT_STEPS {
            return;
        }
        let Some(before) = self.spill_window.pop_front() else {
            return;
        };
        for (before, now) in before.iter().zip(&counts) {
            let allowed = (now.asked - before.asked) as f64 * self.spill_limit_share;
            let noise = SPILL_SIGMAS * allowed.sqrt();
            let over = (now.spilled - before.spilled) as f64 > allowed + noise;
            self.steps_over_spill += u64::from(over);
        }
    }

    fn check_rates(&mut self) {
        self.rejected_window
            .push_back(std::mem::take(&mut self.rejected_in_step));
        if self.sent_window.len() < RATE_STEPS {
            self.sent_window.push_back(Sent::default());
            return;
        }
        let sum = |from: usize, to: usize| -> u64 {
            self.sent_window
                .iter()
                .map(|sent| sent.counts[from][to])
                .sum()
        };
        self.seconds += 1;
        let mut free_rps = 0.0;
        for to in 0..REGIONS.len() {
            let here: u64 = (0..REGIONS.len()).map(|from| sum(from, to)).sum();
            let full = here as f64 / self.region_rps;
            free_rps += (self.region_rps - here as f64).max(0.0);
            self.fullest_region = self.fullest_region.max(full);
            self.seconds_over_region += u64::from(full > 1.0);
            let links = (0..REGIONS.len()).filter(|from| *from != to);
            let over = links.filter(|from| sum(*from, to) as f64 > self.link_rps);
            self.seconds_over_link += over.count() as u64;
        }
        let rejected: u64 = self.rejected_window.iter().sum();
        self.rejected_with_capacity += (rejected as f64).min(free_rps) / RATE_STEPS as f64;
        self.rejected_window.pop_front();
        self.sent_window.pop_front();
        self.sent_window.push_back(Sent::default());
    }

    fn check_shares(&mut self) {
        if self.steps < WARM_UP_STEPS {
            return;
        }
        self.shares.push_back(self.last_shares);
        let window_s = SHIFT_STEPS as f64 * STEP_MS as f64 / 1_000.0;
        if let Some(before) = before(&self.shares, SHIFT_STEPS) {
            let rise = largest_rise(&before, &self.last_shares);
            let of_cap = rise / (self.cap_per_s * window_s);
            self.fastest_of_cap = self.fastest_of_cap.max(of_cap);
            self.steps_over_cap += u64::from(of_cap > 1.0 + 1e-6);
            self.shares.pop_front();
        }
        let second = self.shares.len().saturating_sub(RATE_STEPS);
        let highest = self.shares.iter().take(second).copied().reduce(highest);
        if let Some(highest) = highest {
            let of_cap = largest_rise(&highest, &self.last_shares) / self.cap_per_s;
            self.fastest_second_of_cap = self.fastest_second_of_cap.max(of_cap);
        }
    }
}

/// Returns the element-wise maximum.
fn highest(one: Shares, two: Shares) -> Shares {
    let mut highest = one;
    let pairs = highest.iter_mut().flatten().zip(two.iter().flatten());
    pairs.for_each(|(one, two)| *one = one.max(*two));
    highest
}

fn before(shares: &VecDeque<Shares>, steps: usize) -> Option<Shares> {
    let index = shares.len().checked_sub(steps + 1)?;
    shares.get(index).copied()
}

fn largest_rise(before: &Shares, after: &Shares) -> f64 {
    let pairs = before.iter().flatten().zip(after.iter().flatten());
    pairs
        .map(|(before, after)| after - before)
        .fold(0.0, f64::max)
}
