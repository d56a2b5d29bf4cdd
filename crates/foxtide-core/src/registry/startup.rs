//! How instances that start together share the store's link.

use std::time::Duration;

/// How long the store takes to tell one instance what comes after the first page: a quarter
/// of a megabyte at 1,000 Mbit/s, as some 1,000 keys are. To wait for twice as long leaves
/// the link idle at the end, and the last instances are ready 0.4 s later.
const READ_TIME_PER_INSTANCE: Duration = Duration::from_millis(2);

/// The longest time over which the readings of starting instances spread: a single one
/// that starts again is that late.
const READ_DELAY_MAX: Duration = Duration::from_millis(1_500);

/// Returns how long an instance that has read the first of several pages waits before it
/// reads the others; `instances` are those that the first page names, all of which may
/// have lost power with it, and `draw` is from 0 to 1.
///
/// Were they to read at the same time, all would be ready only at the end of it, 1.2 s
/// after the start for 295 instances. So the first are ready at once, and half of them
/// after half of the time.
pub fn startup_read_delay(instances: usize, draw: f64) -> Duration {
    let instances = u32::try_from(instances).unwrap_or(u32::MAX);
    let spread = READ_TIME_PER_INSTANCE
        .saturating_mul(instances)
        .min(READ_DELAY_MAX);
    spread.mul_f64(draw.clamp(0.0, 1.0))
}
