//! Predicts the course of a move with the computation that the instances use.

use foxtide_core::organisation::{
    Organisation,
    PlannedMove, //
};
use foxtide_core::steering::{
    PlannedRows,
    SteeringOptions, //
};
use foxtide_core::time::WallTime;
use std::time::Duration;

/// Returns the share of the source region's traffic that moves per second, limited to
/// the shift cap less the instances' safety margin.
pub(super) fn pace_per_s(document: &Organisation, planned: &PlannedMove) -> f64 {
    let pace = planned.pace_share_per_s.get();
    let service = document.service(&planned.service);
    let cap = service.map_or(pace, |one| one.contract.shift_cap_share_per_s.get());
    pace.min(cap * SteeringOptions::default().shift_cap_factor)
}

/// Returns the time from the start of a move to its end.
pub(super) fn duration(document: &Organisation, planned: &PlannedMove) -> Duration {
    Duration::from_secs_f64(planned.share.get() / pace_per_s(document, planned))
}

/// Returns the share that has moved by `now`.
pub(super) fn position(document: &Organisation, planned: &PlannedMove, now: WallTime) -> f64 {
    let until = planned.paused_us.map_or(now, |paused| paused.min(now));
    let moving_s = until.since(planned.start_us).as_secs_f64();
    planned
        .share
        .get()
        .min(moving_s * pace_per_s(document, planned))
}

/// Returns the share of the source region's traffic that each region serves at a time,
/// in the order of the document's regions.
pub(super) fn shares(document: &Organisation, planned: &PlannedMove, at: WallTime) -> Vec<f64> {
    let factor = SteeringOptions::default().shift_cap_factor;
    let rows = PlannedRows::new(document, &planned.from, factor);
    rows.row(&planned.service, at).unwrap_or_default()
}
