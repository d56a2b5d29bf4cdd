//! Options of the simulation, and counts of its outcomes.

/// Load and fault rates of the simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulationOptions {
    /// Total number of requests.
    pub(super) requests: usize,
    pub(super) rate_rps: u64,
    pub(super) instances: usize,
    /// Mean time between crashes in the fleet.
    pub(super) crash_period_ms: u64,
    /// Mean time between pauses in the fleet.
    pub(super) pause_period_ms: u64,
    /// Maximum duration of a pause.
    pub(super) pause_max_ms: u64,
    /// Share of exchanges whose connection is lost before the upstream runs the
    /// request, and again the share after it did.
    pub(super) connection_loss_share: f64,
    /// Share of requests that an upstream rejects without running them.
    pub(super) rejected_share: f64,
    /// Share of replies that are lost on their way to the caller.
    pub(super) response_loss_share: f64,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            requests: 100_000,
            rate_rps: 1_000,
            instances: 10,
            crash_period_ms: 2_000,
            pause_period_ms: 15_000,
            pause_max_ms: 12_000,
            connection_loss_share: 0.005,
            rejected_share: 0.01,
            response_loss_share: 0.01,
        }
    }
}

/// Counts of the outcomes of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    /// Requests whose callers received the response.
    pub(super) done: u64,
    /// Requests that callers abandoned, knowing that they were not run.
    pub(super) not_run: u64,
    /// Requests whose callers do not know whether they were run.
    pub(super) unknown: u64,
    /// Those of the unknown requests that no fault affected while in flight.
    pub(super) unknown_without_fault: u64,
    /// Requests that a fault affected while in flight.
    pub(super) affected: u64,
    /// Requests that were run more than once.
    pub(super) duplicated: u64,
    /// Replies of `NotRun` for a key that may have been run.
    pub(super) false_not_run: u64,
    /// Attempts that were redirected to another instance.
    pub(super) redirects: u64,
    pub(super) store_writes: u64,
    /// Duration in simulated time.
    pub(super) seconds: f64,
}
