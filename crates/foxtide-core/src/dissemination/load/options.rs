//! Settings of the spreading of load.

use crate::steering::ViewOptions;
use crate::time::CLOCK_SKEW_MAX;
use std::time::Duration;

/// Lengths of time between two rounds are multiples of this.
const INTERVAL_STEP_MS: u64 = 250;

/// Settings of the spreading of load; equal on all instances.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// Shortest time between two rounds. Default 1 s.
    pub interval_min: Duration,
    /// Longest time between two rounds. Default 30 s.
    pub interval_max: Duration,
    /// What an instance may send for it, in bytes a second. Where the table of
    /// all regions is too large for that, rounds come less often. Default
    /// 1,400.
    pub budget_bytes_per_s: u32,
    /// Instances that an instance of the tree has below it. Default 2.
    pub fan_out: usize,
    /// Time that a level of the tree gives the level below it. Default 60 ms.
    pub level_delay: Duration,
    /// Time that the roots of the regions give one another; over the one-way
    /// delay between the regions furthest apart. Default 120 ms.
    pub inter_region_delay: Duration,
    /// A report older than this when it is summed does not count as heard;
    /// below the age at which readers drop it. Default 2 s.
    pub live_age_max: Duration,
    /// What a record's age is at most above what the clocks say. Default
    /// [`CLOCK_SKEW_MAX`].
    pub skew: Duration,
    /// How old reports may be for those who read the view.
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
    /// Returns the time between two rounds at which an instance with a full
    /// set of children keeps the budget, for a table of this size.
    pub fn interval(&self, table_bytes: usize) -> Duration {
        // One more than its children: a root also tells other roots.
        let round_bytes = table_bytes.saturating_mul(self.fan_out + 1) as u64;
        let budget = u64::from(self.budget_bytes_per_s.max(1));
        let needed_ms = round_bytes.saturating_mul(1_000) / budget;
        let steps = needed_ms.div_ceil(INTERVAL_STEP_MS);
        let needed = Duration::from_millis(steps * INTERVAL_STEP_MS);
        needed.clamp(self.interval_min, self.interval_max)
    }
}
