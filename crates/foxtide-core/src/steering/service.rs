//! The steering state of one service.

use super::admission::Admission;
use super::name_index::NameIndex;
use super::options::{
    PriorityOptions,
    SteeringOptions, //
};
use super::row_band::clamp_to_band;
use super::shift::{
    Row,
    StepLimit,
    drop_region,
    step_towards, //
};
use super::spill_budget::SpillBudget;
use super::target::{
    FreeCapacity,
    SpillLimit,
    redistribute_unusable,
    spill, //
};
use crate::limits::Claim;
use crate::organisation::Service;
use crate::time::MonotonicTime;
use crate::units::{
    RequestRate,
    Share, //
};
use std::time::Duration;

/// The minimum demand that an instance claims for, so that first requests find
/// capacity.
const CLAIM_MIN_RPS: f64 = 0.5;

/// The measured demand below which a service counts as idle.
const IDLE_RPS: f64 = 0.01;

/// The time constant of the measured demand's exponential moving average.
const DEMAND_TIME_CONSTANT_S: f64 = 1.0;

/// A service's row, its targets and its measured demand.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    /// The options that depend on the contract's priority.
    pub(crate) priority: PriorityOptions,
    /// The measured demand, in requests per second.
    pub(crate) demand_rps: f64,
    /// The home weight of each region.
    pub(crate) homes: Row,
    /// Whether each region could serve the service if it were healthy.
    pub(crate) reachable: Vec<bool>,
    /// The healthy share of upstreams that this instance observes, by region.
    pub(crate) observed_health: Vec<Option<Share>>,
    /// The healthy share of upstreams that each region's instances report.
    pub(crate) reported_health: Vec<Option<Share>>,
    /// The share that is sent to each region; `None` until initialised.
    pub(crate) row: Option<Row>,
    /// The planned row, adjusted for regions that are not usable.
    pub(crate) wanted: Row,
    /// [`Self::wanted`], adjusted for spill-over.
    pub(crate) target: Row,
    /// The share of requests claimed as spill-over on each region.
    pub(crate) spill_claims: Row,
    /// The mean row of the peers of the same origin.
    pub(crate) peer_row: Option<Row>,
    /// The mean demand per peer of the same origin, in requests per second.
    pub(crate) peer_demand_rps: f64,
    cap_per_s: f64,
    band_share: f64,
    spill_limit_share: f64,
    spill_budget: SpillBudget,
    /// The requests rejected since the process started.
    pub(crate) rejected: u64,
    planned: Option<Row>,
    planned_next: Row,
    arrivals: u32,
}

impl ServiceState {
    /// Creates the state of a service; `homes` holds the home weight of each
    /// region.
    pub(crate) fn new(service: &Service, homes: &[f64], options: &SteeringOptions) -> Self {
        let no_shares = vec![0.0; homes.len()];
        let contract = &service.contract;
        let cap_per_s = contract.shift_cap_share_per_s.get() * options.shift_cap_factor;
        Self {
            priority: options.priority(contract.priority),
            demand_rps: 0.0,
            homes: homes.to_vec(),
            reachable: Vec::new(),
            observed_health: vec![None; homes.len()],
            reported_health: vec![None; homes.len()],
            row: None,
            wanted: no_shares.clone(),
            target: no_shares.clone(),
            spill_claims: no_shares,
            peer_row: None,
            peer_demand_rps: 0.0,
            cap_per_s,
            band_share: cap_per_s * options.peers_band.as_secs_f64(),
            spill_limit_share: contract.spill_limit_share.get(),
            spill_budget: SpillBudget::default(),
            rejected: 0,
            planned: None,
            planned_next: Row::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn count_arrival(&mut self) {
        self.arrivals = self.arrivals.saturating_add(1);
    }

    /// Returns whether no requests have arrived recently.
    pub(crate) fn is_idle(&self) -> bool {
        self.arrivals == 0 && self.demand_rps < IDLE_RPS
    }

    /// Updates the measured demand with the arrivals since the last tick.
    pub(crate) fn measure_demand(&mut self, since_last: Duration) {
        let passed_s = since_last.as_secs_f64();
        if passed_s <= 0.0 {
            return;
        }
        let rate = f64::from(std::mem::take(&mut self.arrivals)) / passed_s;
        let decay = (-passed_s / DEMAND_TIME_CONSTANT_S).exp();
        self.demand_rps = self.demand_rps * decay + rate * (1.0 - decay);
    }

    /// Restores the row and measurements from the previous configuration.
    pub(crate) fn restore(&mut self, old: &Self, old_names: &NameIndex, names: &NameIndex) {
        self.demand_rps = old.demand_rps;
        self.arrivals = old.arrivals;
        self.spill_budget.clone_from(&old.spill_budget);
        self.rejected = old.rejected;
        let row = old.row.as_ref();
        self.row = row.map(|row| names.indexed(&old_names.named(row)));
        for (region, observed) in names.regions.iter().zip(&mut self.observed_health) {
            let index = old_names.region(region);
            *observed = index.and_then(|index| old.observed_health[index]);
        }
    }

    /// Returns the claim on a region's limit, for a demand of at least
    /// `min_share` of the peers' mean.
    pub(crate) fn claim(&self, region: usize, min_share: f64) -> Claim {
        let min_rps = (self.peer_demand_rps * min_share).max(CLAIM_MIN_RPS);
        let planned_rps = self.demand_rps.max(min_rps) * self.wanted[region];
        let with_reserve_rps = planned_rps * (1.0 + self.priority.reserve_share);
        Claim {
            planned_rps: RequestRate::clamped(with_reserve_rps),
            spilled_rps: RequestRate::clamped(self.demand_rps * self.spill_claims[region]),
        }
    }

    /// Returns whether each region can currently serve the service.
    pub(crate) fn usable(&self) -> Vec<bool> {
        let healthy = |index: &usize| {
            let known = self.observed_health[*index].or(self.reported_health[*index]);
            known.is_none_or(|share| share > Share::ZERO)
        };
        let regions = 0..self.reachable.len();
        regions
            .map(|index| self.reachable[index] && healthy(&index))
            .collect()
    }

    /// Updates the wanted row from the planned one and the regions' health.
    pub(crate) fn update_wanted(&mut self, planned: Row) {
        let usable = self.usable();
        self.wanted = redistribute_unusable(&planned, &self.homes, &usable);
        self.drop_unusable();
        self.planned_next = planned;
    }

    /// Removes unusable regions from the row.
    pub(crate) fn drop_unusable(&mut self) {
        let usable = self.usable();
        if let Some(row) = &mut self.row {
            for index in (0..row.len()).filter(|index| !usable[*index]) {
                drop_region(row, index);
            }
        }
    }

    /// Updates the target and the spill claims from the regions' free capacity.
    pub(crate) fn update_spill(&mut self, capacities: &[FreeCapacity]) {
        let usable = self.usable();
        let homes = self.homes.iter().zip(usable);
        let can_take: Vec<bool> = homes
            .map(|(weight, usable)| usable && *weight > 0.0)
            .collect();
        self.target.clone_from(&self.wanted);
        self.spill_claims = vec![0.0; self.wanted.len()];
        let limit = SpillLimit {
            limit_share: self.spill_limit_share,
            demand_rps: self.demand_rps,
        };
        spill(
            &mut self.target,
            &mut self.spill_claims,
            &can_take,
            capacities,
            limit,
        );
    }

    /// Moves the row towards its target.
    pub(crate) fn step(&mut self, passed: Duration) {
        let planned = std::mem::take(&mut self.planned_next);
        let before = self.planned.as_ref().unwrap_or(&planned);
        let cap_share = self.cap_per_s * passed.as_secs_f64();
        let target = match &self.peer_row {
            Some(peers) => clamp_to_band(&self.target, peers, self.band_share, &self.usable()),
            None => self.target.clone(),
        };
        let limit = |index: usize| StepLimit {
            cap_share,
            planned_share: planned[index] - before[index],
        };
        if let Some(row) = &mut self.row {
            step_towards(row, &target, limit);
        }
        self.planned = Some(planned);
    }

    /// Sets the row to its target; only valid while there is no traffic to shift.
    pub(crate) fn start_at_target(&mut self) {
        self.row = Some(self.target.clone());
    }

    /// Sets an empty row, whose shares then rise under the shift cap.
    pub(crate) fn start_empty(&mut self) {
        self.row = Some(vec![0.0; self.target.len()]);
    }

    /// Selects a region by a draw from `[0, 1)`; `None` if the request is rejected. What may not
    /// spill over any more stays with its planned region.
    pub(crate) fn draw(&self, draw: f64, now: MonotonicTime) -> Option<Drawn> {
        let mut remaining = draw;
        for (index, share) in self.row.as_ref()?.iter().enumerate() {
            if remaining < *share {
                // `wanted` and `target` are empty until the first tick.
                let wanted = self.wanted.get(index).copied().unwrap_or(*share);
                let target = self.target.get(index).copied().unwrap_or(wanted);
                let spilled = remaining >= wanted && target > wanted;
                if spilled && !self.spill_budget.allows(self.spill_limit_share, now) {
                    let position = (remaining - wanted) / (share - wanted);
                    return self.draw_planned(position);
                }
                return Some(Drawn { index, spilled });
            }
            remaining -= share;
        }
        None
    }

    /// Selects among the regions that get less than planned, by a position from `[0, 1)`.
    fn draw_planned(&self, position: f64) -> Option<Drawn> {
        let row = self.row.as_ref()?;
        let missing = |(wanted, share): (&f64, &f64)| (wanted - share).max(0.0);
        let missing: Vec<f64> = self.wanted.iter().zip(row).map(missing).collect();
        let mut remaining = position * missing.iter().sum::<f64>();
        let index = missing.iter().position(|share| {
            let is_drawn = remaining < *share;
            remaining -= share;
            is_drawn
        });
        let spilled = false;
        index.map(|index| Drawn { index, spilled })
    }

    /// Records the decision on a request, unless the request waits for a later one.
    pub(crate) fn record(&mut self, admission: &Admission, now: MonotonicTime) {
        let is_spilled = match admission {
            Admission::Wait { .. } => return,
            Admission::Reject { .. } => {
                self.rejected += 1;
                false
            }
            Admission::Send { spilled, .. } => *spilled,
        };
        self.spill_budget.record(is_spilled, now);
    }

    /// Returns the time until the row can serve all requests under the cap.
    pub(crate) fn time_to_full_service(&self) -> Duration {
        let served: f64 = self.row.iter().flatten().sum();
        let missing = (1.0 - served).max(0.0);
        Duration::from_secs_f64((missing / self.cap_per_s).min(3_600.0))
    }
}

/// The region that a request was drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Drawn {
    /// The region's index in the configuration.
    pub(crate) index: usize,
    /// Whether the request spills over from its planned region.
    pub(crate) spilled: bool,
}
