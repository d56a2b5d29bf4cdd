//! Computes planned rows as a function of the wall clock.
//!
//! All instances compute the same rows from the same configuration, up to the
//! skew of their clocks.

use super::shift::Row;
use super::steps::{
    Change,
    Step,
    progress,
    steps, //
};
use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::organisation::{
    Contract,
    Organisation,
    Service, //
};
use crate::time::WallTime;

/// The minimum weight of a home; homes without a share can still take over from
/// others.
const HOME_WEIGHT_MIN: f64 = 1e-9;

/// The planned rows of all services for one origin region.
#[derive(Clone, Debug)]
pub struct PlannedRows {
    services: Vec<PlannedService>,
}

#[derive(Clone, Debug)]
struct PlannedService {
    service: ServiceId,
    base: Row,
    homes: Row,
    cap_per_s: f64,
    steps: Vec<Step>,
}

impl PlannedRows {
    /// Compiles the rows of an organisation's services for one origin.
    ///
    /// `cap_factor` is applied to each shift cap.
    pub fn new(organisation: &Organisation, origin: &RegionId, cap_factor: f64) -> Self {
        let compile = |service| PlannedService::new(organisation, service, origin, cap_factor);
        Self {
            services: organisation.services.iter().map(compile).collect(),
        }
    }

    /// Returns the row of a service at a time, with the shares in the order of
    /// the organisation's regions.
    pub fn row(&self, service: &ServiceId, wall: WallTime) -> Option<Vec<f64>> {
        let mut services = self.services.iter();
        let planned = services.find(|planned| planned.service == *service)?;
        Some(planned.row(wall))
    }

    /// Returns the row of the service at an index of the configuration.
    pub(crate) fn row_at(&self, index: usize, wall: WallTime) -> Row {
        self.services[index].row(wall)
    }

    /// Returns the weights by which the homes of a service take over shares.
    pub(crate) fn homes_at(&self, index: usize) -> &[f64] {
        &self.services[index].homes
    }
}

impl PlannedService {
    fn new(
        organisation: &Organisation,
        service: &Service,
        origin: &RegionId,
        cap_factor: f64,
    ) -> Self {
        let homes = home_weights(organisation, &service.contract);
        let cap_per_s = service.contract.shift_cap_share_per_s.get() * cap_factor;
        Self {
            service: service.service.clone(),
            base: base_row(organisation, &homes, origin),
            homes,
            cap_per_s,
            steps: steps(organisation, service, cap_per_s),
        }
    }

    fn row(&self, wall: WallTime) -> Row {
        let mut row = self.base.clone();
        let progress = progress(&self.steps, self.cap_per_s, wall);
        for (step, moved) in self.steps.iter().zip(progress) {
            match step.change {
                Change::Move { from, to } => move_part(&mut row, from, to, moved),
                Change::Leave { region } => self.leave(&mut row, region, moved),
            }
        }
        row
    }

    /// Moves a part of a region's share to the homes that remain.
    fn leave(&self, row: &mut Row, region: usize, moved: f64) {
        let leaves = |index: usize| self.steps.iter().any(|step| step.change.leaves(index));
        let weight = |index: usize| {
            if leaves(index) {
                0.0
            } else {
                self.homes[index]
            }
        };
        let total: f64 = (0..row.len()).map(weight).sum();
        if total <= 0.0 {
            return;
        }
        let part = row[region] * moved;
        row[region] -= part;
        for (index, share) in row.iter_mut().enumerate() {
            *share += part * weight(index) / total;
        }
    }
}

fn move_part(row: &mut Row, from: usize, to: usize, moved: f64) {
    let part = row[from] * moved;
    row[from] -= part;
    row[to] += part;
}

/// Returns the home weight of each region, 0 for regions that are not homes.
fn home_weights(organisation: &Organisation, contract: &Contract) -> Row {
    let weight_of = |region: &RegionId| {
        let home = contract.homes.iter().find(|home| home.region == *region);
        home.map_or(0.0, |home| home.share.get().max(HOME_WEIGHT_MIN))
    };
    let regions = organisation.regions.iter();
    regions.map(|region| weight_of(&region.region)).collect()
}

/// Returns the row before moves and drains: all to the origin if it is a home,
/// else divided by the homes' shares.
fn base_row(organisation: &Organisation, homes: &[f64], origin: &RegionId) -> Row {
    let mut regions = organisation.regions.iter();
    let origin_index = regions.position(|region| region.region == *origin);
    if let Some(index) = origin_index.filter(|index| homes[*index] > 0.0) {
        let mut row = vec![0.0; homes.len()];
        row[index] = 1.0;
        return row;
    }
    let total: f64 = homes.iter().sum();
    if total <= 0.0 {
        return vec![0.0; homes.len()];
    }
    homes.iter().map(|weight| weight / total).collect()
}
