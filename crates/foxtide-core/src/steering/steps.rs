//! Models planned moves and drains as timed steps and computes their progress.

use crate::ids::{
    RegionId,
    ServiceId, //
};
use crate::organisation::{
    DrainTarget,
    Organisation,
    PlannedMove,
    Service,
    Upstream, //
};
use crate::time::WallTime;
use std::time::Duration;

/// The minimum pace assumed when the drain of a whole region is scheduled.
const PACE_MIN_PER_S: f64 = 1e-5;

/// A planned change of a service's rows.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) change: Change,
    /// The part that has moved when the step is complete.
    pub(crate) share: f64,
    /// The pace while no other step is running.
    pub(crate) pace_per_s: f64,
    pub(crate) start: WallTime,
    /// The time of a pause, after which the step no longer advances.
    pub(crate) paused_at: Option<WallTime>,
}

/// The change that a step makes; regions are indices into the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    /// Moves a part of one region's share to another region.
    Move { from: usize, to: usize },
    /// Moves a region's whole share to the homes that remain.
    Leave { region: usize },
}

impl Change {
    /// Returns whether this change removes the region at `index`.
    pub(crate) fn leaves(self, index: usize) -> bool {
        matches!(self, Self::Leave { region } if region == index)
    }
}

/// Returns the steps of one service: its moves, then the regions that leave.
pub(crate) fn steps(organisation: &Organisation, service: &Service, cap_per_s: f64) -> Vec<Step> {
    let of_service = |planned: &&PlannedMove| planned.service == service.service;
    let moves = organisation.moves.iter().filter(of_service);
    let mut steps: Vec<Step> = moves
        .filter_map(|planned| move_step(organisation, planned, cap_per_s))
        .collect();
    for (index, region) in organisation.regions.iter().enumerate() {
        if let Some(start) = leave_start(organisation, service, &region.region, cap_per_s) {
            steps.push(Step {
                change: Change::Leave { region: index },
                share: 1.0,
                pace_per_s: cap_per_s,
                start,
                paused_at: None,
            });
        }
    }
    steps
}

fn move_step(organisation: &Organisation, planned: &PlannedMove, cap_per_s: f64) -> Option<Step> {
    let index = |id: &RegionId| organisation.regions.iter().position(|r| r.region == *id);
    Some(Step {
        change: Change::Move {
            from: index(&planned.from)?,
            to: index(&planned.to)?,
        },
        share: planned.share.get(),
        pace_per_s: planned.pace_share_per_s.get().min(cap_per_s),
        start: planned.start_us,
        paused_at: planned.paused_us,
    })
}

/// Returns when a service starts to leave a region, because the region is
/// drained or because drains remove all of its upstreams there.
///
/// In the second case the start is early enough for all traffic to move before
/// the last upstream leaves.
fn leave_start(
    organisation: &Organisation,
    service: &Service,
    region: &RegionId,
    cap_per_s: f64,
) -> Option<WallTime> {
    let drained = organisation.drains.iter();
    let drained = drained.filter(|drain| drain.target == DrainTarget::Region(region.clone()));
    let announced = drained.map(|drain| drain.start_us).min();
    let whole_move = Duration::from_secs_f64(1.0 / cap_per_s.max(PACE_MIN_PER_S));
    let emptied = emptied_at(organisation, service, region);
    let emptied = emptied.map(|at| at.saturating_sub(whole_move));
    announced.into_iter().chain(emptied).min()
}

/// Returns when the last of a service's upstreams leaves a region.
fn emptied_at(
    organisation: &Organisation,
    service: &Service,
    region: &RegionId,
) -> Option<WallTime> {
    let here = service.upstreams.iter().filter(|u| u.region == *region);
    let mut last = None;
    for upstream in here {
        last = last.max(Some(upstream_leaves_at(
            organisation,
            &service.service,
            upstream,
        )?));
    }
    last
}

/// Returns when an announced drain of an upstream or of its availability zone
/// removes the upstream.
///
/// The drain of a region removes no upstream; its traffic moves away under the
/// shift cap.
pub fn upstream_leaves_at(
    organisation: &Organisation,
    service: &ServiceId,
    upstream: &Upstream,
) -> Option<WallTime> {
    let removes = |target: &DrainTarget| match target {
        DrainTarget::Upstream {
            service: of,
            upstream: id,
        } => of == service && *id == upstream.upstream,
        DrainTarget::AvailabilityZone(zone) => *zone == upstream.availability_zone,
        DrainTarget::Region(_) | DrainTarget::Instance(_) => false,
    };
    let drains = organisation.drains.iter();
    let drains = drains.filter(|drain| removes(&drain.target));
    drains.map(|drain| drain.start_us).min()
}

/// Returns the progress of each step at `wall`.
///
/// Concurrent steps share the shift cap: if the sum of their paces exceeds it,
/// all are slowed by the same factor.
pub(crate) fn progress(steps: &[Step], cap_per_s: f64, wall: WallTime) -> Vec<f64> {
    let mut moved = vec![0.0; steps.len()];
    let Some(mut at) = steps.iter().map(|step| step.start).min() else {
        return moved;
    };
    while at < wall {
        let running = |(step, moved): &(&Step, &f64)| {
            let paused = step.paused_at.is_some_and(|paused| paused <= at);
            step.start <= at && !paused && **moved < step.share
        };
        let paces = steps.iter().zip(&moved).filter(running);
        let sum: f64 = paces.map(|(step, _)| step.pace_per_s).sum();
        let pace_factor = if sum > cap_per_s {
            cap_per_s / sum
        } else {
            1.0
        };
        let until = next_change(steps, &moved, pace_factor, at).min(wall);
        let passed_s = until.since(at).as_secs_f64();
        for (step, moved) in steps.iter().zip(&mut moved) {
            if running(&(step, &*moved)) {
                let grown = *moved + step.pace_per_s * pace_factor * passed_s;
                *moved = grown.min(step.share);
            }
        }
        at = until;
    }
    moved
}

/// Returns the next time after `at` at which a step starts, pauses or ends.
fn next_change(steps: &[Step], moved: &[f64], pace_factor: f64, at: WallTime) -> WallTime {
    let mut next = WallTime::from_us(u64::MAX);
    for (step, moved) in steps.iter().zip(moved) {
        let remaining_s = (step.share - moved).max(0.0) / (step.pace_per_s * pace_factor);
        // Rounded up, so that the step is complete and the loop advances.
        let end = Duration::from_secs_f64(remaining_s.min(1e9)) + Duration::from_micros(1);
        let running = step.start <= at && *moved < step.share;
        let ends = running.then(|| at + end);
        let starts = Some(step.start).filter(|start| *start > at);
        let pauses = step.paused_at.filter(|paused| *paused > at);
        next = [ends, starts, pauses]
            .into_iter()
            .flatten()
            .fold(next, WallTime::min);
    }
    next
}
