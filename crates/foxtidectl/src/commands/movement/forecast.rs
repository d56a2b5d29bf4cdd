//! What a move will do, and when.

use foxtide_core::organisation::PlannedMove;
use foxtide_core::time::WallTime;
use std::time::Duration;

/// Returns how long a move takes from its start to its end.
pub(super) fn duration(planned: &PlannedMove) -> Duration {
    Duration::from_secs_f64(planned.share.get() / planned.pace_share_per_s.get())
}

/// Returns the share that has moved by `now`.
pub(super) fn position(planned: &PlannedMove, now: WallTime) -> f64 {
    let until = planned.paused_us.map_or(now, |paused| paused.min(now));
    let moving = until.since(planned.start_us).as_secs_f64();
    planned
        .share
        .get()
        .min(moving * planned.pace_share_per_s.get())
}
