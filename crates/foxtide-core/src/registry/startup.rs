//! Spreads the initial reads of instances that start together.

use std::time::Duration;

/// Time in which the store sends one instance the pages after the first.
const READ_TIME_PER_INSTANCE: Duration = Duration::from_millis(2);

/// Upper bound of the delay, which also delays a single instance that restarts.
const READ_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// Returns the delay before an instance reads the pages after the first one. The first
/// page names `instances`, all of which may be starting; `draw` is from 0 to 1.
///
/// Without the delay all instances would share the store's link and finish late at about
/// the same time; with it, the first ones are ready early.
pub fn startup_read_delay(instances: usize, draw: f64) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let spread = READ_TIME_PER_INSTANCE
        .saturating_mul(instances)
        .min(READ_DELAY_MAX);
    spread.mul_f64(draw.clamp(0.0, 1.0))
}
