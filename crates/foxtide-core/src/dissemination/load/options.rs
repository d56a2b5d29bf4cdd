//! Options of load aggregation.

use crate::steering::ViewOptions;
use crate::time::CLOCK_SKEW_MAX;
use std::time::Duration;

/// The granularity of the interval between rounds.
const INTERVAL_STEP_MS: u64 = 250;

/// Options of [`LoadAggregator`](super::LoadAggregator); equal on all instances.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// The minimum interval between rounds. Default 1 s.
    pub interval_min: Duration,
    /// The maximum interval between rounds. Default 30 s.
    pub interval_max: Duration,
    /// The bandwidth limit of an instance in bytes per second. The interval grows with
    /// the size of the table to stay within it. Default 1,400.
    pub budget_bytes_per_s: u32,
    /// The number of children of an instance in the tree. Default 2.
    pub fan_out: usize,
    /// The time that each level of the tree waits for the level below. Default 60 ms.
    pub level_delay: Duration,
    /// The time that roots wait for the sums of other regions; above the largest
    /// one-way delay between regions. Default 120 ms.
    pub inter_region_delay: Duration,
    /// The maximum age at which a summed report counts as live; below
    /// [`ViewOptions::view_age_max`]. Default 2 s.
    pub live_age_max: Duration,
    /// The assumed maximum clock skew. Default [`CLOCK_SKEW_MAX`].
    pub skew: Duration,
    /// The age limits of readers of the view.
    pub view: ViewOptions,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            interval_min: Duration::from_secs(1),
            interval_max: Duration::from_secs(30),
            budget_bytes_per_s: 1_400,
            fan_out: 2,
            level_delay: Duration::from_millis(60),
            inter_region_delay: Duration::from_millis(120),
            live_age_max: Duration::from_secs(2),
            skew: CLOCK_SKEW_MAX,
            view: ViewOptions::default(),
        }
    }
}

impl LoadOptions {
    /// Returns the interval between rounds at which an instance with `fan_out`
    /// children stays within the bandwidth limit.
    pub fn interval(&self, table_bytes: usize) -> Duration {
        // Adds one message for the exchange between roots.
        let round_bytes = table_bytes.saturating_mul(self.fan_out + 1) as u64;
        let budget = u64::from(self.budget_bytes_per_s.max(1));
        let needed_ms = round_bytes.saturating_mul(1_000) / budget;
        let steps = needed_ms.div_ceil(INTERVAL_STEP_MS);
        let needed = Duration::from_millis(steps * INTERVAL_STEP_MS);
        needed.clamp(self.interval_min, self.interval_max)
    }
}
