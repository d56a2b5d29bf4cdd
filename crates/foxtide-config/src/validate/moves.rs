//! Validates planned moves.

use super::Validator;
use crate::Result;
use foxtide_core::ids::RegionId;
use foxtide_core::organisation::{
    PlannedMove,
    Service, //
};
use foxtide_core::time::WallTime;
use std::time::Duration;

/// Tolerance of sums for rounding errors.
const PACE_TOLERANCE: f64 = 1e-9;

impl Validator<'_> {
    /// Checks the moves.
    pub(super) fn moves(&self) -> Result<()> {
        let moves = &self.document.moves;
        self.check_unique("moves", moves.iter().map(|one| &one.id))?;
        moves.iter().try_for_each(|one| self.check_move(one))
    }

    fn check_move(&self, movement: &PlannedMove) -> Result<()> {
        let path = format!("moves[{}]", movement.id);
        let Some(service) = self.document.service(&movement.service) else {
            let problem = format!("there is no service `{}`", movement.service);
            let field = format!("{path}.service");
            return self.fail(field, problem, "a service of the organisation");
        };
        self.check_endpoints(&path, movement, service)?;
        if movement.share.get() <= 0.0 {
            let expected = "a share above 0, at most 1";
            return self.fail(format!("{path}.share"), movement.share, expected);
        }
        self.check_pace(&path, movement, service)?;
        self.check_moved_share(&path, movement)
    }

    /// Requires that a service moves between two different homes.
    fn check_endpoints(&self, path: &str, movement: &PlannedMove, service: &Service) -> Result<()> {
        let homes = &service.contract.homes;
        for (end, region) in [("from", &movement.from), ("to", &movement.to)] {
            let field = format!("{path}.{end}");
            self.require_region(&field, region)?;
            if !homes.iter().any(|home| home.region == *region) {
                let known: Vec<&str> = homes.iter().map(|home| home.region.as_str()).collect();
                let problem = format!("`{region}` is not a home of `{}`", service.service);
                return self.fail(field, problem, known.join(", "));
            }
        }
        if movement.from == movement.to {
            let problem = "source and target are the same region";
            return self.fail(format!("{path}.to"), problem, "another home");
        }
        self.require_link(format!("{path}.to"), &movement.from, &movement.to)
    }

    /// Requires that concurrent moves of a region's share keep the shift cap in sum.
    fn check_pace(&self, path: &str, movement: &PlannedMove, service: &Service) -> Result<()> {
        let cap = service.contract.shift_cap_share_per_s;
        let moves = self.document.moves.iter();
        let together =
            moves.filter(|other| share_region(movement, other) && overlap(movement, other));
        let paces: Vec<f64> = together.map(|one| one.pace_share_per_s.get()).collect();
        let sum: f64 = paces.iter().sum();
        if sum <= cap.get() + PACE_TOLERANCE {
            return Ok(());
        }
        let problem = match paces.len() {
            1 => movement.pace_share_per_s.to_string(),
            count => format!("{sum}/s together with {} other move(s)", count - 1),
        };
        let expected = format!("at most the shift cap of {cap}");
        self.fail(format!("{path}.pace_share_per_s"), problem, expected)
    }

    /// Requires that a region does not move away more than its whole share.
    fn check_moved_share(&self, path: &str, movement: &PlannedMove) -> Result<()> {
        let moves = self.document.moves.iter();
        let given =
            moves.filter(|one| one.service == movement.service && one.from == movement.from);
        let sum: f64 = given.map(|one| one.share.get()).sum();
        if sum > 1.0 + PACE_TOLERANCE {
            let problem = format!("all moves from `{}` sum to {sum}", movement.from);
            return self.fail(format!("{path}.share"), problem, "at most 1 in all");
        }
        Ok(())
    }
}

/// Returns whether two moves change the share of the same region.
fn share_region(one: &PlannedMove, other: &PlannedMove) -> bool {
    let touches = |region: &RegionId| other.from == *region || other.to == *region;
    one.service == other.service && (touches(&one.from) || touches(&one.to))
}

/// Returns whether two moves overlap in time.
fn overlap(one: &PlannedMove, other: &PlannedMove) -> bool {
    one.id == other.id || (one.start_us < end_time(other) && other.start_us < end_time(one))
}

/// Returns when a move pauses or is complete.
fn end_time(movement: &PlannedMove) -> WallTime {
    let duration_s = movement.share.get() / movement.pace_share_per_s.get();
    let duration = Duration::try_from_secs_f64(duration_s).unwrap_or(Duration::MAX);
    let complete_at = movement.start_us + duration;
    movement
        .paused_us
        .map_or(complete_at, |paused| paused.min(complete_at))
}
